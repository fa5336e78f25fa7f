// Evacuation of data centres: which starts, offers and load reports it
// prevents, and how load returns afterwards.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// A controller of one worker in each of two data centres, for two tasks each.
/// The workers accept every start and report runs until they are ended.
struct evacuation_fixture {
  evacuation_fixture() {
    state = MakeEngine({}, {.incarnation = 1, .name = "self", .cpu_milli = 500},
                       now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state,
                std::make_shared<const fleet_config>(
                    fleet_config{.version = 1,
                                 .queues = {{.name = "q",
                                             .host = "h",
                                             .path_prefix = "/q/",
                                             .upstream = "plata",
                                             .attempts = 2,
                                             .stretch = 1.6,
                                             .objective = 100ms}}}),
                "");
    for (const std::string place : {"east", "west"}) {
      UpdateWorkerListing(state,
                          {.id = place,
                           .address = "10.1.0.1:80",
                           .upstream = "plata",
                           .data_centre = place,
                           .capacity = {.cpu_milli = 16'000},
                           .boot_time_ms = 1},
                          now);
    }
    // Past the time in which an entry that has just started holds jobs.
    Advance(2'500ms);
  }

  void Submit(uint64_t request, uint32_t tasks = 1) {
    SubmitJob(state,
              {.request = request,
               .queue = "q",
               .spec = {.id = "job" + std::to_string(request),
                        .steps = {{.count = tasks,
                                   .need = {.cpu_milli = 8'000},
                                   .estimate = 300ms}}},
               .caller_timeout = 4s},
              now);
    DispatchAndFlush(state, now);
    Execute();
  }

  bool Evacuate(uint64_t version, std::set<std::string> data_centres) {
    const bool changed = ApplyEvacuations(
        state, {.version = version, .data_centres = std::move(data_centres)},
        evacuation_source::kStore, now);
    DispatchAndFlush(state, now);
    Execute();
    return changed;
  }

  void Advance(std::chrono::milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      Execute();
    }
  }

  void Execute() {
    for (const action& one : TakeActions(state)) {
      if (const auto* start = std::get_if<start_order>(&one)) {
        starts.push_back(start->target.id);
        running[start->target.id].push_back({.name = start->name});
        OnStartReply(state, start->target.id, start->name,
                     start_outcome::kAccepted, 1'000, now);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answers.push_back(*answer);
      } else if (const auto* poll = std::get_if<poll_order>(&one)) {
        OnPollReply(state, poll->target.id, poll->number,
                    {.outcome = poll_outcome::kAnswered,
                     .running = running[poll->target.id]},
                    1'000, now);
      } else if (const auto* stop = std::get_if<stop_order>(&one)) {
        stops.push_back(stop->target.id);
      } else if (const auto* send = std::get_if<peer_send>(&one)) {
        for (const peer_message& message : send->content.messages) {
          offers += std::holds_alternative<part_offer>(message) ? 1 : 0;
        }
        OnDelivery(state, send->content.to, delivery::kDelivered, now);
      } else if (const auto* line = std::get_if<log_action>(&one)) {
        log += line->line + '\n';
      }
    }
  }

  /// Ends all runs of a worker successfully.
  void Finish(const std::string& id) {
    for (const listed_run& run : running[id]) {
      EndRun(state, state.workers.at(id), run.name, run_end::kDone, now);
    }
    running[id].clear();
    DispatchAndFlush(state, now);
    Execute();
  }

  uint32_t FreeTasks() const {
    const load_table loads = ReportLoad(state, now);
    const auto at = loads.find("plata");
    return at == loads.end() ? 0 : at->second.free_tasks;
  }

  engine state;
  instant now{10s};
  std::map<std::string, std::vector<listed_run>> running;
  std::vector<std::string> starts;
  std::vector<std::string> stops;
  uint32_t offers = 0;
  std::vector<caller_answer> answers;
  std::string log;
};

// Guards against tasks that start in a data centre after the operator asked
// for its evacuation.
TEST_CASE_METHOD(evacuation_fixture,
                 "nothing starts on the workers of an evacuated data centre") {
  REQUIRE(FreeTasks() == 4);
  CHECK(Evacuate(7, {"east"}));
  CHECK(FreeTasks() == 2);
  Submit(1, 2);
  CHECK(starts == std::vector<std::string>{"west", "west"});
  CHECK(log.find("event=data_centre_evacuated data_centre=east version=7 "
                 "source=store known=yes workers=1") != std::string::npos);
}

// Guards against callers that wait for capacity which is out of service.
TEST_CASE_METHOD(evacuation_fixture,
                 "without any capacity left callers are refused at once") {
  Evacuate(7, {"east", "west"});
  Submit(1);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kNotRunNoInstance);
  CHECK(answers[0].retry_after == 5s);
  CHECK(starts.empty());
}

TEST_CASE_METHOD(evacuation_fixture,
                 "runs go on to their end in an evacuated data centre") {
  Submit(1, 4);
  REQUIRE(starts.size() == 4);
  Evacuate(7, {"east"});
  Advance(200ms);
  CHECK(stops.empty());
  Finish("east");
  Finish("west");
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kOk);
}

// Guards against queued tasks that wait at a controller whose workers were all
// evacuated until they are late.
TEST_CASE_METHOD(evacuation_fixture,
                 "parts that cannot start here any more are refused") {
  Submit(1, 4);
  Submit(2, 1);
  REQUIRE(starts.size() == 4);
  REQUIRE(state.queue.size() == 1);
  Evacuate(7, {"east", "west"});
  REQUIRE(answers.size() == 1);
  CHECK(PromisesNotRun(answers[0].code));
  CHECK(state.queue.empty());
}

// Guards against an evacuation that comes back, or one that is forgotten, when
// the table service or a peer answers with an older state.
TEST_CASE_METHOD(evacuation_fixture, "an older snapshot changes nothing") {
  CHECK(Evacuate(7, {"east"}));
  CHECK_FALSE(Evacuate(6, {}));
  CHECK_FALSE(Evacuate(7, {}));
  CHECK(IsEvacuated(state, "east"));
  CHECK(Evacuate(8, {}));
  CHECK_FALSE(Evacuate(7, {"east"}));
  CHECK_FALSE(IsEvacuated(state, "east"));
}

// Guards against a data centre of cold workers that gets its full load at once
// when it is back in service.
TEST_CASE_METHOD(evacuation_fixture,
                 "a restored worker gets one run until one has succeeded") {
  Evacuate(7, {"east"});
  Submit(1, 2);
  Evacuate(8, {});
  CHECK(FreeTasks() == 1);
  Submit(2);
  CHECK(starts.back() == "east");
  CHECK(FreeTasks() == 0);
  Finish("east");
  CHECK(FreeTasks() == 2);
  CHECK(log.find("event=data_centre_restored") != std::string::npos);
}

TEST_CASE_METHOD(evacuation_fixture,
                 "names that break a log line or a metric are ignored") {
  Evacuate(7, {"east", "", "a b", "x\"y", std::string(201, 'n')});
  CHECK(state.evacuations.since.size() == 1);
  CHECK(log.find("event=evacuation_ignored") != std::string::npos);
  std::set<std::string> many;
  for (int number = 0; number < 100; ++number) {
    many.insert("dc" + std::to_string(number));
  }
  Evacuate(8, many);
  CHECK(state.evacuations.since.size() == 64);
  CHECK(log.find("known=no") != std::string::npos);
}

/// An entry and a peer in an evacuated data centre.
struct peer_fixture : evacuation_fixture {
  peer_fixture() {
    AddPeer(state,
            {.incarnation = 2,
             .name = "peer",
             .address = "10.0.0.2:1",
             .data_centre = "east"},
            now);
    Hear({});
  }

  void Hear(std::vector<peer_message> messages, uint64_t evacuations = 0) {
    messages.insert(messages.begin(),
                    heartbeat{.from = state.peers.at(2).identity,
                              .config_version = 1,
                              .evacuation_version = evacuations,
                              .interval = 250ms});
    OnEnvelope(state,
               {.from = 2,
                .to = 1,
                .stream = 1,
                .heard_stream = state.peers.at(2).stream_out,
                .load = {{"plata", {.free_tasks = 100, .workers = 10}}},
                .messages = std::move(messages)},
               now);
  }

  const evacuation_snapshot* Sent() const {
    for (const peer_message& message : state.peers.at(2).outbox) {
      if (const auto* sent = std::get_if<evacuation_snapshot>(&message)) {
        return sent;
      }
    }
    return nullptr;
  }
};

// Guards against an entry that is cut off from the table service and goes on
// starting tasks in a data centre that its peers know to be evacuated.
TEST_CASE_METHOD(peer_fixture, "peers pass evacuations on") {
  Hear({evacuation_snapshot{.version = 9, .data_centres = {"east"}}}, 9);
  CHECK(IsEvacuated(state, "east"));
  CHECK(Sent() == nullptr);
  Hear({}, 0);
  REQUIRE(Sent() != nullptr);
  CHECK(Sent()->version == 9);
  CHECK(Sent()->data_centres == std::set<std::string>{"east"});
}

// Guards against messages on every heartbeat between an entry that missed the
// end of an evacuation and one that never heard of it.
TEST_CASE_METHOD(peer_fixture,
                 "a peer that missed the end of an evacuation is told") {
  Evacuate(20, {});
  Hear({}, 0);
  CHECK(Sent() == nullptr);
  Hear({evacuation_snapshot{.version = 9, .data_centres = {"east"}}}, 9);
  CHECK_FALSE(IsEvacuated(state, "east"));
  Hear({}, 9);
  REQUIRE(Sent() != nullptr);
  CHECK(Sent()->version == 20);
  CHECK(Sent()->data_centres.empty());
}

// Guards against an evacuation that stays in force after its end, at an entry
// that learned of it from a peer and of its end from the table.
TEST_CASE_METHOD(peer_fixture, "the table overrules an older peer") {
  Hear({evacuation_snapshot{.version = 9, .data_centres = {"east"}}}, 9);
  ConfirmEvacuations(state, {.version = 8}, now);
  CHECK(IsEvacuated(state, "east"));
  ConfirmEvacuations(state, {.version = 30}, now);
  CHECK_FALSE(IsEvacuated(state, "east"));
  ConfirmEvacuations(state, {.version = 200}, now);
  Hear({evacuation_snapshot{.version = 100, .data_centres = {"east"}}}, 100);
  CHECK_FALSE(IsEvacuated(state, "east"));
}

// Guards against two entries that send each other their snapshots for ever,
// each with a newer version of the same set.
TEST_CASE_METHOD(peer_fixture, "equal sets settle on one version") {
  ConfirmEvacuations(state, {.version = 50, .data_centres = {"east"}}, now);
  ConfirmEvacuations(state, {.version = 70, .data_centres = {"east"}}, now);
  Hear({evacuation_snapshot{.version = 60, .data_centres = {"east"}}}, 60);
  CHECK(state.evacuations.announced_version == 60);
  Hear({}, 60);
  CHECK(Sent() == nullptr);
}

// Guards against offers that are based on a load report from before the
// evacuation, each of which costs a refusal and another offer.
TEST_CASE_METHOD(peer_fixture,
                 "a controller there gets no offers until its next report") {
  Submit(1, 4);
  const uint32_t before = offers;
  Evacuate(7, {"east"});
  Submit(2);
  CHECK(offers == before);
  now += 20ms;
  Hear({}, 7);
  Submit(3);
  CHECK(offers == before + 1);
}

}  // namespace
}  // namespace tarragondrift::fleet
