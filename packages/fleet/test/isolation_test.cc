// Entries that lose touch with witnesses while they reach workers and store.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "claim_fixture.h"

namespace tarragondrift::fleet {
namespace {

/// Entries that read the list of witnesses; one of them is not reached by the
/// others, while it reaches the workers and the store.
template <size_t entry_count, size_t witness_count>
struct unreached_fixture : sized_claim_fixture<entry_count> {
  unreached_fixture() : sized_claim_fixture<entry_count>({}, witness_count) {
    this->run_time = 2'500ms;
    this->cuts_only_entries = true;
    Play(1s);
  }

  /// Lets time pass while all entries read the list of witnesses.
  void Play(milliseconds span) {
    for (const instant end = this->now + span; this->now < end;) {
      for (engine& state : this->entries) {
        ApplyWitnessList(state, state.witnesses.list, this->now);
      }
      this->Advance(std::min<milliseconds>(
          1s, std::chrono::floor<milliseconds>(end - this->now)));
    }
  }
};

/// Time within which users want service back.
constexpr milliseconds kRecovery{12'000};

struct two_witnesses_fixture : unreached_fixture<3, 2> {};
struct three_witnesses_fixture : unreached_fixture<3, 3> {};
struct five_witnesses_fixture : unreached_fixture<5, 5> {};

/// Cuts an entry off while it runs a job, and submits the job again at the
/// others until it is served.
/// @return how many were served.
template <typename fixture>
size_t PlaySubmissions(fixture& one, size_t unreached, size_t other) {
  size_t served = 0;
  for (milliseconds wait = 900ms; wait < 2'600ms; wait += 60ms) {
    const std::string job = one.JobOf(0);
    one.Submit(unreached, job, 8s);
    one.Play(100ms);
    one.cut.insert(unreached);
    one.Play(wait);
    milliseconds rest = 7'700ms - wait;
    for (size_t trial = 0; trial < 8; ++trial, rest -= 400ms) {
      const uint64_t request =
          one.Submit(trial % 2 == 0 ? 0 : other, job, rest);
      one.Play(400ms);
      if (!one.answers.contains(request)) {
        one.Play(3s);
      }
      if (one.answers.contains(request) &&
          one.answers.at(request) == result_code::kOk) {
        ++served;
        break;
      }
    }
    one.cut.clear();
    one.Play(4s);
  }
  return served;
}

TEST_CASE_METHOD(two_witnesses_fixture,
                 "an entry that heard half of the witnesses took workers back "
                 "and ran a job beside its next submission") {
  PlaySubmissions(*this, 1, 2);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(three_witnesses_fixture,
                 "an isolated entry ran a job beside its next submission") {
  CHECK(PlaySubmissions(*this, 2, 1) > 0);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(three_witnesses_fixture,
                 "an entry acquired workers in the moment in which it lost the "
                 "witnesses") {
  const uint64_t before = entries[2].counts.acquired;
  cut.insert(2);
  Play(1'900ms);
  CHECK(entries[2].counts.acquired == before);
}

TEST_CASE_METHOD(three_witnesses_fixture,
                 "the only entry left acquired no workers after its restart") {
  cut.insert(0);
  cut.insert(1);
  frozen = {0, 1};
  Play(5s);
  Restart(2);
  engine& state = entries[2];
  AddPeer(state, IdentityOf(0), now);
  AddPeer(state, IdentityOf(1), now);
  state.peers_listed = true;
  auto config = std::make_shared<fleet_config>(*MakeConfig());
  ApplyConfig(state, config, "");
  for (int worker = 0; worker < kWorkers; ++worker) {
    UpdateWorkerListing(
        state, MakeWorker("w" + std::to_string(worker), DataCentreOf(worker)),
        now);
  }
  milliseconds waited{0};
  while (state.held_workers.empty() && waited < 60s) {
    Play(500ms);
    waited += 500ms;
  }
  CHECK(waited <= kRecovery);
}

TEST_CASE_METHOD(three_witnesses_fixture,
                 "the only entry left took no workers over") {
  cut.insert(0);
  cut.insert(1);
  frozen = {0, 1};
  milliseconds waited{0};
  while (entries[2].held_workers.size() < kWorkers && waited < 60s) {
    Play(500ms);
    waited += 500ms;
  }
  CHECK(waited <= kRecovery);
}

TEST_CASE_METHOD(five_witnesses_fixture,
                 "an entry that heard most witnesses, but not two of a job's, "
                 "ran it beside its next submission") {
  size_t served = 0;
  for (milliseconds wait = 900ms; wait < 2'600ms; wait += 60ms) {
    const size_t far = 4;
    std::string job;
    std::vector<std::string> names;
    std::set<size_t> two;
    do {
      job = JobOf(0);
      names = WitnessesOf(job);
      two.clear();
      for (const std::string& name : names) {
        const auto at = static_cast<size_t>(name.back() - '0');
        if (at != far && two.size() < 2) {
          two.insert(at);
        }
      }
    } while (std::find(names.begin(), names.end(), "entry4") != names.end());
    Submit(far, job, 8s);
    Play(100ms);
    for (const size_t one : two) {
      cut_links.insert({one, far});
    }
    Play(wait);
    milliseconds rest = 7'700ms - wait;
    for (size_t trial = 0; trial < 8; ++trial, rest -= 400ms) {
      const uint64_t request =
          Submit(trial % 2 == 0 ? *two.begin() : *two.rbegin(), job, rest);
      Play(400ms);
      if (!answers.contains(request)) {
        Play(3s);
      }
      if (answers.contains(request) &&
          answers.at(request) == result_code::kOk) {
        ++served;
        break;
      }
    }
    cut_links.clear();
    Play(4s);
  }
  CHECK(served > 0);
  CHECK(overlaps == 0);
}

}  // namespace
}  // namespace tarragondrift::fleet
