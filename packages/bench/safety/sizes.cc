#include "sizes.h"

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include "figure.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"

namespace {

/// Allocations of this thread, counted by the operator below.
thread_local uint64_t allocations = 0;

}  // namespace

void* operator new(size_t bytes) {
  ++allocations;
  if (void* const memory = std::malloc(bytes)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, size_t /*bytes*/) noexcept {
  std::free(memory);
}

namespace tarragondrift::bench {
namespace {

constexpr size_t kJobs = 1'000;
constexpr size_t kPayloadBytes = 100;
constexpr size_t kBodyBytes = 100;

/// Bytes that the program holds on the heap.
size_t HeapBytes() { return mallinfo2().uordblks; }

/// Processor time of the program.
std::chrono::duration<double> ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNano = 1e-9;
  return std::chrono::duration<double>(static_cast<double>(now.tv_sec) +
                                       kNano *
                                           static_cast<double>(now.tv_nsec));
}

/// Makes an entry with so many free slots.
entry MakeEntryWithSlots(uint32_t slots) {
  entry state = MakeEntry({.data_centre = 1, .self = {1}});
  config_document config;
  config.version = 1;
  config.upstreams.push_back({.name = "plata"});
  config.contracts.push_back({.name = "quote"});
  config.teams.push_back({.name = "sales"});
  ApplyEntryConfig(state, std::make_shared<const config_document>(config));
  SetInstance(state.dispatch,
              {.upstream = {0, 0}, .address = "127.0.0.1:1", .share = slots});
  return state;
}

/// Makes a job of so many tasks.
job_request MakeJob(entry& state, size_t tasks) {
  job_request request{.id = MintTickets(state, 1).value().first,
                      .digest = {1, 1},
                      .contract = {0, 0},
                      .team = {0, 0},
                      .deadline = std::chrono::hours(1)};
  for (size_t number = 0; number < tasks; ++number) {
    request.tasks.push_back({.name = "task " + std::to_string(number),
                             .upstream = {0, 0},
                             .payload = std::string(kPayloadBytes, 'x')});
  }
  return request;
}

/// Measures the bytes of jobs that wait, and of their answers when kept.
void PrintBytes(size_t tasks) {
  entry state = MakeEntryWithSlots(static_cast<uint32_t>(kJobs * tasks));
  const std::string context =
      "tasks=" + std::to_string(tasks) +
      " payload_bytes=" + std::to_string(kPayloadBytes) +
      " body_bytes=" + std::to_string(kBodyBytes);
  const size_t empty = HeapBytes();
  std::vector<placement> placed;
  placed.reserve(kJobs * tasks);
  const size_t reserved = HeapBytes() - empty;
  for (size_t job = 0; job < kJobs; ++job) {
    actions out;
    static_cast<void>(
        SubmitJob(state, MakeJob(state, tasks), {job}, instant{}, out));
    for (const action& one : out) {
      placed.push_back(std::get<start_task>(one).placed);
    }
  }
  const auto each = [](size_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(kJobs);
  };
  PrintFigure({.name = "bytes_per_running_job",
               .value = each(HeapBytes() - empty - reserved),
               .kind = bound_kind::kNone,
               .unit = "B",
               .context = context});
  for (const placement& one : placed) {
    actions out;
    OnAttemptResult(state, one,
                    {.outcome = attempt_outcome::kSucceeded,
                     .body = std::string(kBodyBytes, 'y')},
                    instant{}, out);
  }
  malloc_trim(0);
  PrintFigure({.name = "bytes_per_kept_answer",
               .value = each(HeapBytes() - empty - reserved),
               .kind = bound_kind::kNone,
               .unit = "B",
               .context = context + " counted_bytes=" +
                          std::to_string(state.kept.bytes / kJobs)});
}

/// What a wave of cancels cost, for each task.
struct cancel_cost {
  double processor_s = 0;
  double allocations = 0;
};

/// Cancels so many queued tasks, all at once.
cancel_cost CancelWave(size_t tasks) {
  constexpr size_t kTasksEach = 100;
  entry state = MakeEntryWithSlots(0);
  std::vector<submission_id> ids;
  actions out;
  for (size_t job = 0; job < tasks / kTasksEach; ++job) {
    job_request request = MakeJob(state, kTasksEach);
    ids.push_back(*request.id);
    static_cast<void>(
        SubmitJob(state, std::move(request), {job}, instant{}, out));
  }
  const auto begin = ProcessorTime();
  const uint64_t allocated = allocations;
  for (const submission_id& id : ids) {
    actions cancelled;
    static_cast<void>(CancelJob(state, id, instant{}, cancelled));
  }
  const auto each = static_cast<double>(tasks);
  return {.processor_s = (ProcessorTime() - begin).count() / each,
          .allocations = static_cast<double>(allocations - allocated) / each};
}

}  // namespace

void PrintSizes() {
  constexpr size_t kSmallJob = 1;
  constexpr size_t kLargeJob = 100;
  PrintBytes(kSmallJob);
  PrintBytes(kLargeJob);
  for (const size_t tasks : {1'000U, 10'000U, 100'000U}) {
    const cancel_cost cost = CancelWave(tasks);
    const std::string context = "wave_tasks=" + std::to_string(tasks);
    PrintFigure({.name = "cancel_cpu_per_task_s",
                 .value = cost.processor_s,
                 .kind = bound_kind::kNone,
                 .unit = "s",
                 .context = context});
    PrintFigure({.name = "cancel_allocations_per_task",
                 .value = cost.allocations,
                 .kind = bound_kind::kNone,
                 .context = context});
  }
}

}  // namespace tarragondrift::bench
