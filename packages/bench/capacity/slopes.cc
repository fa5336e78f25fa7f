#include "slopes.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "heap_count.h"
#include "tarragondrift/config/document_text.h"
#include "tarragondrift/core/burn_cmd.h"
#include "tarragondrift/core/config_sync_cmd.h"
#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"
#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kSample = 1'000;

/// Gives the bytes that one more object costs: the growth from one sample to
/// twice as many.
template <class Grow>
double Slope(Grow grow) {
  grow(kSample);
  const size_t before = LiveHeapBytes();
  grow(kSample);
  const size_t after = LiveHeapBytes();
  return (static_cast<double>(after) - static_cast<double>(before)) / kSample;
}

std::string Address(uint32_t data_centre, uint32_t number) {
  return "10." + std::to_string(data_centre) + "." +
         std::to_string(number / 250) + "." + std::to_string(number % 250) +
         ":7000";
}

config_document MakeDocument(const design_size& size) {
  config_document document;
  document.upstreams.push_back({.name = "plata"});
  for (uint32_t number = 0; number < size.contracts; ++number) {
    document.contracts.push_back({.name = "contract" + std::to_string(number)});
  }
  for (uint32_t number = 0; number < size.teams; ++number) {
    document.teams.push_back({.name = "team" + std::to_string(number)});
  }
  for (uint32_t number = 0; number < size.data_centres; ++number) {
    document.data_centres.push_back(
        {.name = "dc" + std::to_string(number), .region = "region"});
  }
  return document;
}

double PeerBytes() {
  membership members =
      MakeMembership(membership_options{.self = incarnation{1}});
  uint64_t value = 1;
  return Slope([&](uint32_t count) {
    for (uint32_t number = 0; number < count; ++number) {
      ++value;
      heartbeat beat{.from = incarnation{value},
                     .address = Address(1, static_cast<uint32_t>(value)),
                     .number = 1};
      for (uint32_t row = 0; row < members.options.max_slot_reports; ++row) {
        beat.slots.push_back({.address = Address(2, row)});
      }
      ReceiveHeartbeat(members, beat, instant{});
    }
  });
}

double InstanceBytes(const config_document& document) {
  dispatcher state = MakeDispatcher({});
  ApplyConfig(state, document);
  uint32_t number = 0;
  return Slope([&](uint32_t count) {
    for (uint32_t added = 0; added < count; ++added) {
      SetInstance(state, upstream_instance{.upstream = upstream_id{0, 0},
                                           .address = Address(3, number++),
                                           .share = 2});
    }
  });
}

/// What a team costs in the document, in its text and in the dispatcher.
double TeamBytes(design_size size) {
  std::vector<config_document> documents;
  std::vector<std::string> texts;
  std::vector<dispatcher> dispatchers;
  const auto build = [&] {
    documents.push_back(MakeDocument(size));
    texts.push_back(FormatConfigDocument(documents.back()));
    dispatchers.push_back(MakeDispatcher({}));
    ApplyConfig(dispatchers.back(), documents.back());
  };
  const auto measure = [&](uint32_t teams) {
    size.teams = teams;
    const size_t before = LiveHeapBytes();
    build();
    return static_cast<double>(LiveHeapBytes() - before);
  };
  constexpr uint32_t kHalf = kSample / 2;
  const double some = measure(kHalf);
  return (measure(2 * kHalf) - some) / kHalf;
}

entry MakeEntryWithConfig(const config_document& document) {
  entry state = MakeEntry(entry_options{.self = incarnation{1}});
  auto config = std::make_shared<config_document>(document);
  config->version = 1;
  ApplyEntryConfig(state, config);
  return state;
}

job_request MakeJob() {
  job_request request{
      .contract = contract_id{0, 0}, .team = team_id{0, 0}, .deadline = 600s};
  request.tasks.push_back(task_request{
      .name = "task", .upstream = upstream_id{0, 0}, .declared = 100ms});
  return request;
}

double QueuedTaskBytes(const config_document& document) {
  dispatcher state = MakeDispatcher({});
  ApplyConfig(state, document);
  uint32_t job = 0;
  return Slope([&](uint32_t count) {
    for (uint32_t number = 0; number < count; ++number) {
      const queued_task task{.task = {job_id{job++, 0}, 0},
                             .upstream = upstream_id{0, 0},
                             .team = team_id{0, 0},
                             .contract = contract_id{0, 0},
                             .declared = 100ms,
                             .deadline = instant(600s)};
      EnqueueJob(state, {&task, 1}, instant{});
    }
  });
}

/// Answers of one task each; they end by cancellation, without a body.
double KeptAnswerBytes(const config_document& document) {
  entry state = MakeEntryWithConfig(document);
  uint64_t waiter = 0;
  const double slope = Slope([&](uint32_t count) {
    for (uint32_t number = 0; number < count; ++number) {
      actions out;
      const result<submission_id> id =
          SubmitJob(state, MakeJob(), waiter_id{++waiter}, instant{}, out);
      if (id.has_value()) {
        static_cast<void>(CancelJob(state, id.assume_value(), instant{}, out));
      }
    }
  });
  return slope;
}

double BurnRowBytes() {
  burn_counts counts;
  const contract_config contract{.name = "contract"};
  uint32_t team = 0;
  return Slope([&](uint32_t count) {
    for (uint32_t number = 0; number < count; ++number) {
      CountAnswer(counts, contract, "team" + std::to_string(team++),
                  result_code::kOk, 1ms, wall_second{});
    }
  });
}

/// Entries that exchange beats without loss in steps.
struct beat_group {
  std::vector<membership> entries;
  std::vector<config_sync> news;
  std::map<std::string, size_t> index;
  heartbeat self;
  std::vector<heartbeat_target> flying;
  instant now;
};

constexpr std::chrono::milliseconds kStep{100};

beat_group MakeGroup(const design_size& size) {
  beat_group group;
  for (uint32_t place = 0; place < size.data_centres; ++place) {
    for (uint32_t number = 0; number < size.entries_each; ++number) {
      const std::string address = Address(place, number);
      group.index[address] = group.entries.size();
      group.entries.push_back(MakeMembership(membership_options{
          .self = incarnation{place * uint64_t{100} + number + 1},
          .data_centre = static_cast<uint16_t>(place),
          .address = address}));
      group.news.push_back(MakeConfigSync({}, group.now));
    }
  }
  for (membership& entry : group.entries) {
    for (const membership& other : group.entries) {
      LearnPeer(entry, other.options.self, other.options.data_centre,
                other.options.address, group.now);
    }
  }
  for (uint32_t row = 0; row < size.InstancesEach(); ++row) {
    group.self.slots.push_back({.address = Address(100, row)});
  }
  return group;
}

void Step(beat_group& group) {
  group.now += kStep;
  for (const heartbeat_target& beat : std::exchange(group.flying, {})) {
    ReceiveHeartbeat(group.entries[group.index.at(beat.address)], beat.message,
                     group.now);
  }
  for (size_t number = 0; number < group.entries.size(); ++number) {
    TickConfigSync(group.news[number], group.entries[number], group.now);
    for (heartbeat_target& beat :
         TickMembership(group.entries[number], group.self, group.now)) {
      group.flying.push_back(std::move(beat));
    }
  }
}

void RunFor(beat_group& group, std::chrono::seconds time) {
  for (const instant end = group.now + time; group.now < end;) {
    Step(group);
  }
}

uint64_t Messages(const membership& entry) {
  return entry.sent.messages + entry.received.messages;
}

uint64_t Bytes(const membership& entry) {
  return entry.sent.bytes + entry.received.bytes;
}

}  // namespace

state_slopes MeasureState(const design_size& size) {
  const config_document document = MakeDocument(size);
  return state_slopes{.per_entry = PeerBytes(),
                      .per_upstream_instance = InstanceBytes(document),
                      .per_team = TeamBytes(size),
                      .per_queued_task = QueuedTaskBytes(document),
                      .per_kept_answer = KeptAnswerBytes(document),
                      .per_burn_row = BurnRowBytes(),
                      .document_text = static_cast<double>(
                          FormatConfigDocument(document).size())};
}

beat_load MeasureBeats(const design_size& size, bool speaker) {
  constexpr std::chrono::seconds kMeasured = 60s;
  beat_group group = MakeGroup(size);
  RunFor(group, 30s);
  const std::vector<membership> before = group.entries;
  RunFor(group, kMeasured);
  beat_load most;
  for (size_t number = 0; number < before.size(); ++number) {
    const membership& after = group.entries[number];
    if (IsSpeaker(after, group.now) != speaker) {
      continue;
    }
    const auto seconds = static_cast<double>(kMeasured.count());
    most.messages_per_s = std::max(
        most.messages_per_s,
        static_cast<double>(Messages(after) - Messages(before[number])) /
            seconds);
    most.bytes_per_s = std::max(
        most.bytes_per_s,
        static_cast<double>(Bytes(after) - Bytes(before[number])) / seconds);
  }
  return most;
}

double MeasureControlSeconds(const design_size& size) {
  constexpr std::chrono::seconds kMeasured = 30s;
  beat_group group = MakeGroup(size);
  RunFor(group, 30s);
  const std::clock_t begin = std::clock();
  RunFor(group, kMeasured);
  const auto used = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  return used / static_cast<double>(group.entries.size()) /
         static_cast<double>(kMeasured.count());
}

}  // namespace tarragondrift::bench
