#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr std::chrono::milliseconds kStep{100};

/// Entries that exchange heartbeats in virtual time; the delivery of a
/// heartbeat takes one step.
struct group {
  std::map<std::string, membership> entries;
  std::map<std::string, uint64_t> configs;
  std::vector<heartbeat_target> in_transit;
  instant now;
  /// Whether a heartbeat from the first data centre to the second is lost.
  std::function<bool(uint16_t, uint16_t)> lost = [](uint16_t, uint16_t) {
    return false;
  };
};

std::string Address(uint16_t data_centre, uint64_t value) {
  return "10." + std::to_string(data_centre) + ".0." + std::to_string(value) +
         ":7000";
}

membership& Start(group& all, uint16_t data_centre, uint64_t value) {
  const std::string address = Address(data_centre, value);
  return all.entries[address] =
             MakeMembership(membership_options{.self = incarnation{value},
                                               .data_centre = data_centre,
                                               .address = address,
                                               .remote_heartbeat_interval = 1s,
                                               .remote_silence_limit = 20s});
}

/// Starts `entries_each` entries in each data centre; all learn of each other
/// from the platform's rows.
group MakeGroup(uint16_t data_centres, uint64_t entries_each) {
  group all;
  for (uint16_t data_centre = 1; data_centre <= data_centres; ++data_centre) {
    for (uint64_t number = 0; number < entries_each; ++number) {
      Start(all, data_centre, uint64_t{10} * data_centre + number);
    }
  }
  for (auto& [address, entry] : all.entries) {
    for (const auto& [other_address, other] : all.entries) {
      LearnPeer(entry, other.options.self, other.options.data_centre,
                other_address, all.now);
    }
  }
  return all;
}

void Step(group& all) {
  all.now += kStep;
  for (const heartbeat_target& arrived : std::exchange(all.in_transit, {})) {
    const auto to = all.entries.find(arrived.address);
    if (to != all.entries.end() && !all.lost(arrived.message.data_centre,
                                             to->second.options.data_centre)) {
      ReceiveHeartbeat(to->second, arrived.message, all.now);
    }
  }
  for (auto& [address, entry] : all.entries) {
    const heartbeat self{.config_version = all.configs[address]};
    for (heartbeat_target& outgoing : TickMembership(entry, self, all.now)) {
      all.in_transit.push_back(std::move(outgoing));
    }
  }
}

void Run(group& all, std::chrono::milliseconds time) {
  for (const instant end = all.now + time; all.now < end;) {
    Step(all);
  }
}

size_t CountSpeakers(const group& all, uint16_t data_centre) {
  size_t speakers = 0;
  for (const auto& [address, entry] : all.entries) {
    if (entry.options.data_centre == data_centre && IsSpeaker(entry, all.now)) {
      ++speakers;
    }
  }
  return speakers;
}

membership& Entry(group& all, uint16_t data_centre, uint64_t value) {
  return all.entries.at(Address(data_centre, value));
}

TEST_CASE("Entries of all data centres discover each other") {
  group all = MakeGroup(3, 3);
  Run(all, 15s);
  for (const auto& [address, entry] : all.entries) {
    for (uint16_t data_centre = 1; data_centre <= 3; ++data_centre) {
      CHECK(LiveEntries(entry, data_centre, all.now).size() == 3);
    }
  }
  CHECK(CountSpeakers(all, 1) == 1);
  CHECK(IsSpeaker(Entry(all, 2, 20), all.now));
}

TEST_CASE(
    "A silent entry stops being live after the silence limit, not before") {
  group all = MakeGroup(1, 3);
  Run(all, 5s);
  all.entries.erase(Address(1, 12));
  Run(all, 2s);
  CHECK(LiveEntries(Entry(all, 1, 10), 1, all.now).size() == 3);
  Run(all, 2s);
  CHECK(LiveEntries(Entry(all, 1, 10), 1, all.now).size() == 2);
}

TEST_CASE("When a speaker dies, the next entry in rank order replaces it") {
  group all = MakeGroup(3, 3);
  Run(all, 15s);
  all.entries.erase(Address(1, 10));
  Run(all, 4s);
  CHECK(CountSpeakers(all, 1) == 1);
  CHECK(IsSpeaker(Entry(all, 1, 11), all.now));
  const uint64_t before = Entry(all, 2, 20).received.messages;
  Run(all, 10s);
  CHECK(Entry(all, 2, 20).received.messages > before);
  Run(all, 10s);
  CHECK(LiveEntries(Entry(all, 2, 21), 1, all.now).size() == 2);
}

TEST_CASE("A draining speaker is replaced by a serving entry") {
  group all = MakeGroup(1, 2);
  Run(all, 5s);
  membership& leaving = Entry(all, 1, 10);
  for (const heartbeat_target& outgoing : TickMembership(
           leaving, heartbeat{.stage = entry_stage::kDraining}, all.now)) {
    ReceiveHeartbeat(Entry(all, 1, 11), outgoing.message, all.now);
  }
  CHECK_FALSE(IsSpeaker(leaving, all.now));
  CHECK(IsSpeaker(Entry(all, 1, 11), all.now));
  CHECK(LiveEntries(Entry(all, 1, 11), 1, all.now).size() == 2);
}

TEST_CASE("Several concurrent speakers do no harm and converge to one") {
  group all = MakeGroup(2, 3);
  Run(all, 15s);
  all.lost = [](uint16_t from, uint16_t to) { return from == 1 && to == 1; };
  Run(all, 5s);
  CHECK(CountSpeakers(all, 1) == 3);
  CHECK(LiveEntries(Entry(all, 2, 20), 1, all.now).size() == 3);
  all.lost = [](uint16_t, uint16_t) { return false; };
  Run(all, 3s);
  CHECK(CountSpeakers(all, 1) == 1);
}

TEST_CASE("Data centres reconnect after a network partition") {
  group all = MakeGroup(2, 2);
  Run(all, 15s);
  all.lost = [](uint16_t from, uint16_t to) { return from != to; };
  Run(all, 60s);
  CHECK(LiveEntries(Entry(all, 1, 10), 2, all.now).empty());
  CHECK(LiveEntries(Entry(all, 1, 11), 1, all.now).size() == 2);
  all.lost = [](uint16_t, uint16_t) { return false; };
  Run(all, 10s);
  CHECK(LiveEntries(Entry(all, 1, 11), 2, all.now).size() == 2);
}

TEST_CASE("A restarted entry replaces its previous incarnation") {
  group all = MakeGroup(2, 2);
  Run(all, 15s);
  const std::string address = Address(1, 11);
  membership& restarted = Start(all, 1, 99);
  restarted.options.address = address;
  all.entries[address] = restarted;
  all.entries.erase(Address(1, 99));
  LearnPeer(Entry(all, 1, 11), incarnation{10}, 1, Address(1, 10), all.now);
  Run(all, 4s);
  membership& other = Entry(all, 1, 10);
  CHECK(LiveEntries(other, 1, all.now) ==
        std::vector<incarnation>{incarnation{10}, incarnation{99}});
  CHECK(FindPeerAddress(other, incarnation{99}) == address);
  CHECK_FALSE(FindPeerAddress(other, incarnation{11}).has_value());
}

TEST_CASE("Stale, duplicate and reordered heartbeats change nothing") {
  membership state = MakeMembership(membership_options{.self = incarnation{1}});
  const heartbeat newer{.from = incarnation{2},
                        .number = 5,
                        .queued_tasks = 7,
                        .config_version = 4};
  ReceiveHeartbeat(state, newer, instant(1s));
  ReceiveHeartbeat(state,
                   {.from = incarnation{2}, .number = 4, .queued_tasks = 1},
                   instant(2s));
  CHECK(state.peers.at(incarnation{2}).last.queued_tasks == 7);
  ReceiveHeartbeat(state, newer, instant(9s));
  CHECK(LiveEntries(state, 0, instant(9s)).size() == 1);
  ReceiveHeartbeat(state, {.from = incarnation{3}, .relayed = {newer}},
                   instant(9s));
  CHECK(LiveEntries(state, 0, instant(9s)).size() == 2);
  CHECK(HighestPeerConfig(state) == 4);
}

TEST_CASE(
    "A peer's configuration version never decreases, whatever it reports") {
  membership state = MakeMembership(membership_options{.self = incarnation{1}});
  ReceiveHeartbeat(state,
                   {.from = incarnation{2}, .number = 1, .config_version = 9},
                   instant(1s));
  ReceiveHeartbeat(state,
                   {.from = incarnation{2}, .number = 2, .config_version = 3},
                   instant(2s));
  CHECK(HighestPeerConfig(state) == 9);
}

TEST_CASE("A new configuration version is sent at once") {
  group all = MakeGroup(3, 3);
  Run(all, 15s);
  all.configs[Address(1, 10)] = 1;
  Run(all, 2 * kStep);
  CHECK(HighestPeerConfig(Entry(all, 1, 12)) == 1);
  CHECK(HighestPeerConfig(Entry(all, 2, 20)) == 1);
}

TEST_CASE(
    "Traffic between data centres does not grow with the number of entries") {
  const auto remote_messages = [](uint64_t entries_each) {
    group all = MakeGroup(4, entries_each);
    Run(all, 15s);
    uint64_t count = 0;
    all.lost = [&count](uint16_t from, uint16_t to) {
      count += from == to ? 0 : 1;
      return false;
    };
    Run(all, 10s);
    return count;
  };
  CHECK(remote_messages(6) == remote_messages(2));
}

TEST_CASE(
    "Slot reports beyond the limit are all sent in turn, idle slots every "
    "time") {
  membership state = MakeMembership(
      membership_options{.self = incarnation{1}, .max_slot_reports = 3});
  LearnPeer(state, incarnation{2}, 0, "peer", instant{});
  heartbeat self;
  for (int number = 0; number < 10; ++number) {
    self.slots.push_back(slot_report{.address = std::to_string(number)});
  }
  self.slots[9].idle = 4;
  std::map<std::string, int> times_sent;
  for (int round = 1; round <= 10; ++round) {
    for (const heartbeat_target& sent :
         TickMembership(state, self, instant(round * 1s))) {
      CHECK(sent.message.slots.size() == 3);
      for (const slot_report& report : sent.message.slots) {
        ++times_sent[report.address];
      }
    }
  }
  CHECK(times_sent.size() == 10);
  CHECK(times_sent["9"] == 10);
}

TEST_CASE("An entry without known peers discovers them through its seeds") {
  group all = MakeGroup(1, 2);
  Run(all, 5s);
  membership& fresh = Start(all, 1, 12);
  fresh.options.seeds = {Address(1, 12), "10.1.0.99:7000", Address(1, 11)};
  Run(all, 3s);
  CHECK(LiveEntries(fresh, 1, all.now).size() == 2);
  CHECK(LiveEntries(Entry(all, 1, 11), 1, all.now).size() == 3);
}

TEST_CASE("Silent entries are kept up to a limit") {
  membership state = MakeMembership(
      membership_options{.self = incarnation{1}, .max_silent_peers = 4});
  for (uint64_t value = 2; value < 100; ++value) {
    LearnPeer(state, incarnation{value}, 0, std::to_string(value),
              instant(std::chrono::milliseconds(value)));
  }
  for (int round = 1; round <= 64; ++round) {
    TickMembership(state, {}, instant(round * 1s));
  }
  CHECK(state.peers.size() == 4);
  CHECK(state.peers.contains(incarnation{99}));
}

}  // namespace
}  // namespace tarragondrift
