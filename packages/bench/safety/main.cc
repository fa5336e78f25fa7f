// bench_safety: drives entries of the core through seeded schedules of faults
// in virtual time, and counts broken promises.
#include <getopt.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "figure.h"
#include "intervals.h"
#include "recorded.h"
#include "schedule.h"
#include "sizes.h"

namespace tarragondrift::bench {
namespace {

/// Options of the program.
struct program_options {
  uint64_t seeds = 10'000;
  uint64_t first_seed = 1;
  unsigned threads = 8;
  injected_fault broken = injected_fault::kNone;
  /// Succeed when, and only when, a check finds something.
  bool expect_caught = false;
};

/// The name of a rule that can be broken.
struct mutation_name {
  std::string_view name;
  injected_fault rule;
};

constexpr std::array<mutation_name, 6> kMutations{{
    {"none", injected_fault::kNone},
    {"skip_watermark", injected_fault::kSkipWatermark},
    {"start_after_lost_reply", injected_fault::kStartAfterLostReply},
    {"forward_twice", injected_fault::kForwardTwice},
    {"evict_early", injected_fault::kEvictEarly},
    {"hand_over_late", injected_fault::kHandOverLate},
}};

/// Finds a rule by its name.
std::optional<injected_fault> FindMutation(std::string_view name) {
  for (const mutation_name& known : kMutations) {
    if (known.name == name) {
      return known.rule;
    }
  }
  return std::nullopt;
}

/// Gives the name of a rule.
std::string_view NameOf(injected_fault rule) {
  for (const mutation_name& known : kMutations) {
    if (known.rule == rule) {
      return known.name;
    }
  }
  return "none";
}

/// Reads the command line.
/// @return nothing when it has an error.
std::optional<program_options> ReadOptions(int count, char** arguments) {
  static const std::array<option, 6> known{{
      {"seeds", required_argument, nullptr, 's'},
      {"first-seed", required_argument, nullptr, 'f'},
      {"threads", required_argument, nullptr, 't'},
      {"mutation", required_argument, nullptr, 'm'},
      {"expect-caught", no_argument, nullptr, 'e'},
      {nullptr, 0, nullptr, 0},
  }};
  program_options read;
  int letter = 0;
  while ((letter = getopt_long(count, arguments, "", known.data(), nullptr)) !=
         -1) {
    switch (letter) {
      case 's':
        read.seeds = std::strtoull(optarg, nullptr, 10);
        break;
      case 'f':
        read.first_seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        read.threads = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'e':
        read.expect_caught = true;
        break;
      case 'm':
        if (const auto rule = FindMutation(optarg)) {
          read.broken = *rule;
          break;
        }
        return std::nullopt;
      default:
        return std::nullopt;
    }
  }
  return read.seeds > 0 && read.threads > 0 ? std::optional(read)
                                            : std::nullopt;
}

/// The sum over all schedules, and the first one that broke a promise.
struct total {
  schedule_result sum;
  std::optional<uint64_t> first_found;
};

/// Runs all schedules on some threads; the sum does not depend on their order.
total RunAll(const program_options& options) {
  total all;
  std::mutex lock;
  std::atomic<uint64_t> next{options.first_seed};
  const uint64_t end = options.first_seed + options.seeds;
  const auto work = [&] {
    for (uint64_t seed = next++; seed < end; seed = next++) {
      const schedule_result result =
          RunSchedule({.seed = seed, .broken = options.broken});
      const std::lock_guard<std::mutex> held(lock);
      AddResult(all.sum, result);
      if (FoundViolation(result)) {
        all.first_found = std::min(all.first_found.value_or(seed), seed);
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned thread = 0; thread < options.threads; ++thread) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return all;
}

/// Prints the figures of the promises.
/// @return whether all bounds are met.
bool PrintPromises(const schedule_result& sum, const std::string& context) {
  const violation_counts& found = sum.found;
  bool met = true;
  const auto zero = [&](const std::string& name, uint64_t value) {
    met &= PrintFigure({.name = name,
                        .value = static_cast<double>(value),
                        .bound = 0,
                        .context = context});
  };
  zero("double_starts", found.double_starts);
  zero("partial_answers", found.partial_answers);
  zero("false_not_run", found.false_not_run);
  zero("crossed_answers", found.crossed_answers);
  zero("lost_answers_on_planned_stop", found.lost_answers_on_planned_stop);
  met &= PrintFigure({.name = "store_writes_per_ticket_job",
                      .value = static_cast<double>(sum.writes_for_tickets) /
                               static_cast<double>(sum.ticket_jobs),
                      .bound = 0,
                      .context = context});
  PrintFigure({.name = "unknown_outcomes_per_entry_death",
               .value = static_cast<double>(sum.unknown_outcomes) /
                        static_cast<double>(std::max<uint64_t>(sum.deaths, 1)),
               .kind = bound_kind::kNone,
               .context = context});
  return met;
}

/// Prints how callers' work ended, as a check that the schedules reach every
/// kind of end.
void PrintCodes(const schedule_result& sum) {
  uint64_t answered = 0;
  for (const auto& [code, answers] : sum.codes) {
    std::cout << "final_code=" << DescribeResultCode(code).name
              << " answers=" << answers << '\n';
    answered += answers;
  }
  std::cout << "final_code=none callers=" << sum.jobs - answered << '\n';
}

/// Runs the program.
/// @return its exit code.
int Run(const program_options& options) {
  const total all = RunAll(options);
  const schedule_result& sum = all.sum;
  const std::string context =
      "schedules=" + std::to_string(sum.schedules) +
      " faults=" + std::to_string(sum.faults) +
      " jobs=" + std::to_string(sum.jobs) +
      " whole_answers=" + std::to_string(sum.whole_answers) +
      " entry_deaths=" + std::to_string(sum.deaths) +
      " planned_stops=" + std::to_string(sum.planned_stops) +
      " mutation=" + std::string(NameOf(options.broken));
  if (options.broken == injected_fault::kNone && !options.expect_caught) {
    PrintSizes();
    PrintRecorded();
    PrintIntervals();
  }
  PrintCodes(sum);
  PrintPromises(sum, context);
  if (all.first_found.has_value()) {
    std::cout << "first_found_seed=" << *all.first_found << '\n';
  }
  const bool caught = all.first_found.has_value();
  return caught == options.expect_caught ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace tarragondrift::bench

int main(int count, char** arguments) {
  const auto options = tarragondrift::bench::ReadOptions(count, arguments);
  if (!options) {
    std::cerr << "usage: bench_safety [--seeds N] [--first-seed N] "
                 "[--threads N] [--mutation NAME] [--expect-caught]\n";
    return EXIT_FAILURE;
  }
  return tarragondrift::bench::Run(*options);
}
