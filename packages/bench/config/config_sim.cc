#include "config_sim.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "event_loop.h"
#include "sim_table.h"
#include "tarragondrift/config/config_store.h"
#include "tarragondrift/core/config_sync_cmd.h"
#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift::bench {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{50};
constexpr milliseconds kCallLimit{5'000};
constexpr milliseconds kNearDelay{1};
constexpr milliseconds kFarDelayMost{120};
/// Part of the messages that come late, behind others.
constexpr double kLatePart = 0.01;
constexpr milliseconds kLateMost{4'000};

/// One place where an entry runs; its process is replaced now and then.
struct sim_entry {
  uint16_t data_centre = 0;
  std::string address;
  bool alive = true;
  instant paused_until;
  membership members;
  config_sync news;
  /// The version that submissions meet here.
  uint64_t applied = 0;
  bool serving = false;
  instant started;
  /// When a fault last touched what this entry can reach.
  instant disturbed;
  /// The versions of all entries when this one started.
  std::vector<uint64_t> versions_at_start;
};

/// One operator's command and what it was told.
struct sim_command {
  std::string operation;
  std::string digest;
  change_outcome told;
};

/// The whole simulated system.
class config_sim {
 public:
  explicit config_sim(const config_sim_options& options)
      : options_(options), random_(options.seed), table_(loop_, random_) {}

  config_sim_report Run() {
    AddEntries();
    Schedule(kTick, [this] { TickAll(); });
    Schedule(options_.change_interval, [this] { ChangeConfig(); });
    Schedule(options_.fault_interval, [this] { BeginFault(); });
    Schedule(options_.replace_interval, [this] { Restart(PickEntry()); });
    if (options_.fault_interval.count() > 0) {
      table_.rates = {.unavailable = 0.25, .reply_lost = 0.1, .delayed = 0.25};
    }
    loop_.RunUntil(instant(options_.busy));
    EndAllFaults();
    loop_.RunUntil(instant(options_.busy + options_.quiet));
    CheckEnd();
    report_.table_reads = table_.reads + head_reads_;
    return report_;
  }

 private:
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  milliseconds DrawTime(milliseconds least, milliseconds most) {
    return milliseconds(std::uniform_int_distribution<int64_t>(
        least.count(), most.count())(random_));
  }

  size_t PickEntry() { return random_() % entries_.size(); }

  uint16_t PickDataCentre() {
    return static_cast<uint16_t>(random_() % options_.data_centres);
  }

  bool Busy() const { return loop_.now() < instant(options_.busy); }

  /// Repeats an event; all but the tick end with the busy time.
  void Schedule(milliseconds interval, const std::function<void()>& run) {
    if (interval.count() == 0) {
      return;
    }
    loop_.After(interval, [this, interval, run] {
      const bool tick = interval == kTick;
      if (tick || Busy()) {
        run();
        Schedule(interval, run);
      }
    });
  }

  void AddEntries() {
    for (uint16_t place = 0; place < options_.data_centres; ++place) {
      for (uint32_t number = 0; number < options_.entries_each; ++number) {
        entries_.push_back(sim_entry{.data_centre = place,
                                     .address = "10." + std::to_string(place) +
                                                ".0." + std::to_string(number) +
                                                ":7000"});
      }
    }
    for (size_t number = 0; number < entries_.size(); ++number) {
      index_[entries_[number].address] = number;
      StartEntry(entries_[number]);
    }
  }

  /// Starts a process with a new incarnation, which knows its seeds and, when
  /// the table answers, the rows of the others.
  void StartEntry(sim_entry& entry) {
    membership_options options{.self = incarnation{random_()},
                               .data_centre = entry.data_centre,
                               .address = entry.address};
    for (const sim_entry& other : entries_) {
      if (other.data_centre == entry.data_centre) {
        options.seeds.push_back(other.address);
      }
    }
    entry.members = MakeMembership(options);
    entry.news = MakeConfigSync({}, loop_.now());
    entry.applied = 0;
    entry.serving = false;
    entry.started = loop_.now();
    entry.alive = true;
    entry.paused_until = instant{};
    entry.versions_at_start.clear();
    for (const sim_entry& other : entries_) {
      entry.versions_at_start.push_back(other.applied);
    }
    if (ReachesTable(entry)) {
      for (const sim_entry& other : entries_) {
        LearnPeer(entry.members, other.members.options.self, other.data_centre,
                  other.address, loop_.now());
      }
    }
  }

  void Restart(size_t number) {
    ++report_.restarts;
    entries_[number].alive = false;
    const milliseconds away = DrawTime(milliseconds(100), milliseconds(4'000));
    loop_.After(away, [this, number] { StartEntry(entries_[number]); });
  }

  bool Runs(const sim_entry& entry) const {
    return entry.alive && loop_.now() >= entry.paused_until;
  }

  bool ReachesTable(const sim_entry& entry) const {
    return !table_.down && !table_cuts_.contains(entry.data_centre) &&
           !entry_table_cuts_.contains(index_.at(entry.address));
  }

  bool IsCut(uint16_t from, uint16_t to) const {
    return cuts_.contains({from, to});
  }

  /// Carries a message, which may be lost, late or overtaken.
  void Carry(uint16_t from, uint16_t to, std::function<void()> arrive) {
    ++report_.messages;
    if (IsCut(from, to) || Draw() < options_.loss) {
      return;
    }
    milliseconds delay =
        from == to ? kNearDelay : DrawTime(kNearDelay, kFarDelayMost);
    if (Draw() < kLatePart) {
      delay += DrawTime(milliseconds(0), kLateMost);
    }
    loop_.After(delay, std::move(arrive));
  }

  void TickAll() {
    for (size_t number = 0; number < entries_.size(); ++number) {
      if (Runs(entries_[number])) {
        TickEntry(number);
      }
    }
    WatchForce();
  }

  void TickEntry(size_t number) {
    sim_entry& entry = entries_[number];
    const heartbeat self{.config_version = entry.applied};
    for (heartbeat_target& beat :
         TickMembership(entry.members, self, loop_.now())) {
      SendBeat(entry, std::move(beat));
    }
    for (const config_request& request :
         TickConfigSync(entry.news, entry.members, loop_.now())) {
      CarryOut(number, request);
    }
    const bool early =
        options_.mutation == config_mutation::kServeAtOnce && entry.applied > 0;
    if (!entry.serving && (entry.news.may_serve || early)) {
      entry.serving = true;
      CheckFresh(entry);
    }
  }

  void SendBeat(const sim_entry& entry, heartbeat_target beat) {
    const auto to = index_.find(beat.address);
    if (to == index_.end()) {
      return;
    }
    auto message = std::make_shared<heartbeat>(std::move(beat.message));
    Carry(entry.data_centre, entries_[to->second].data_centre,
          [this, number = to->second, message] {
            if (Runs(entries_[number])) {
              ReceiveHeartbeat(entries_[number].members, *message, loop_.now());
            }
          });
  }

  void CarryOut(size_t number, const config_request& request) {
    const bool fetches = request.kind != config_request_kind::kPollHead;
    if (fetches && entries_[number].serving &&
        options_.mutation == config_mutation::kNeverFetch) {
      return;
    }
    if (request.kind == config_request_kind::kFetchFromPeer) {
      FetchFromPeer(number, request.address);
    } else {
      ReadTable(number, fetches);
    }
  }

  /// Runs an event at an entry unless its process has been replaced.
  std::function<void()> At(size_t number, std::function<void(sim_entry&)> run) {
    const incarnation self = entries_[number].members.options.self;
    return [this, number, self, run = std::move(run)] {
      sim_entry& entry = entries_[number];
      if (Runs(entry) && entry.members.options.self == self) {
        run(entry);
      }
    };
  }

  void ReadTable(size_t number, bool fetches) {
    ++head_reads_;
    const milliseconds time =
        DrawTime(options_.table_least, options_.table_most);
    const bool lost = Draw() < options_.loss || Draw() < options_.loss;
    if (!ReachesTable(entries_[number]) || lost || time > kCallLimit) {
      if (!fetches) {
        loop_.After(kCallLimit, At(number, [](sim_entry& entry) {
                      OnConfigPollResult(entry.news, std::nullopt);
                    }));
      }
      return;
    }
    constexpr double kLaggingPart = 0.3;
    constexpr milliseconds kLagMost{30'000};
    const milliseconds lag = options_.lagging_reads && Draw() < kLaggingPart
                                 ? DrawTime(milliseconds(0), kLagMost)
                                 : milliseconds(0);
    // The table reads half-way through the call.
    loop_.After(time / 2, [this, number, fetches, lag, time] {
      const uint64_t version = table_.HeadVersionAt(loop_.now() - lag);
      loop_.After(time / 2,
                  At(number, [this, fetches, version](sim_entry& entry) {
                    if (fetches) {
                      TakeDocument(entry, version);
                    } else {
                      OnConfigPollResult(entry.news, version);
                    }
                  }));
    });
  }

  void FetchFromPeer(size_t number, const std::string& address) {
    const size_t source = index_.at(address);
    const uint16_t here = entries_[number].data_centre;
    const uint16_t there = entries_[source].data_centre;
    const auto answer = [this, number, here, there](uint64_t version) {
      Carry(there, here, At(number, [this, version](sim_entry& entry) {
              TakeDocument(entry, version);
            }));
    };
    Carry(here, there, [this, source, answer] {
      if (Runs(entries_[source]) && entries_[source].applied > 0) {
        answer(entries_[source].applied);
      }
    });
  }

  void TakeDocument(sim_entry& entry, uint64_t version) {
    const uint64_t before = entry.applied;
    const bool any = options_.mutation == config_mutation::kApplyOlder;
    if (version > 0 && (OnConfigFetchResult(entry.news, version) || any)) {
      entry.applied = version;
    }
    if (entry.applied < before) {
      ++report_.reverts;
    }
  }

  /// Tells whether two entries could talk ever since a moment.
  bool TalkedSince(const sim_entry& one, const sim_entry& other,
                   instant since) const {
    return !IsCut(one.data_centre, other.data_centre) &&
           !IsCut(other.data_centre, one.data_centre) && other.alive &&
           other.started <= since && other.disturbed < since &&
           one.disturbed < since && other.paused_until < since;
  }

  /// Checks what a fresh entry serves on against what it could know.
  void CheckFresh(const sim_entry& fresh) {
    uint64_t least = 0;
    for (size_t number = 0; number < entries_.size(); ++number) {
      if (TalkedSince(fresh, entries_[number], fresh.started)) {
        least = std::max(least, fresh.versions_at_start[number]);
      }
    }
    const bool table_known = !options_.lagging_reads && ReachesTable(fresh) &&
                             fresh.disturbed < fresh.started;
    if (table_known) {
      least = std::max(least, VersionAt(fresh.started));
    }
    if (fresh.applied < least) {
      ++report_.reverts;
    }
  }

  uint64_t VersionAt(instant when) const { return table_.HeadVersionAt(when); }

  /// An operator tries a document and promotes it, repeating the command while
  /// its outcome is unknown.
  void ChangeConfig() {
    ++changes_;
    const std::string name = std::to_string(changes_);
    const std::string text =
        R"({"schema":1,"upstreams":[{"name":"u"}],"contracts":[{"name":"c"}],)"
        R"("teams":[{"name":"t","weight":)" +
        name + R"(}],"data_centres":[{"name":"d","region":"r"}]})";
    config_change change{.by = "operator" + std::to_string(random_() % 3),
                         .at = {},
                         .operation = "try" + name};
    const change_outcome tried = TryDocument(table_, text, change);
    if (tried.code != result_code::kOk) {
      return;
    }
    change.operation = "promote" + name;
    if (const auto head = ReadHead(table_, environment::kProduction)) {
      change.expected_version = head.assume_value().version;
    }
    Promote(tried.head.digest, change);
    const bool races = Draw() < 0.2;
    if (races && !last_digest_.empty()) {
      config_change rival = change;
      rival.by = "rival";
      rival.operation = "rival" + name;
      Promote(last_digest_, rival);
    }
    last_digest_ = tried.head.digest;
  }

  void Promote(const std::string& digest, const config_change& change) {
    change_outcome told = PromoteDocument(table_, digest, change);
    if (told.code == result_code::kConfigOutcomeUnknown) {
      ++report_.told_unknown;
      if (options_.mutation == config_mutation::kTrustLostReply) {
        told.code = result_code::kOk;
        told.head =
            config_head{.version = change.expected_version.value_or(0) + 1,
                        .digest = digest,
                        .operation = change.operation};
      }
    }
    if (told.code == result_code::kConfigConflict) {
      ++report_.told_conflict;
    }
    const bool again = told.code == result_code::kConfigOutcomeUnknown;
    commands_.push_back(sim_command{.operation = change.operation,
                                    .digest = digest,
                                    .told = std::move(told)});
    if (again) {
      config_change repeat = change;
      repeat.repeated = true;
      loop_.After(milliseconds(1'500),
                  [this, digest, repeat] { Promote(digest, repeat); });
    }
  }

  /// Notes for each version when the last serving entry had it.
  void WatchForce() {
    while (const auto accepted = table_.AcceptedAt(in_force_ + 1)) {
      const bool everywhere = std::all_of(
          entries_.begin(), entries_.end(), [this](const sim_entry& entry) {
            return !Runs(entry) || !entry.serving || entry.applied > in_force_;
          });
      if (!everywhere) {
        return;
      }
      ++in_force_;
      report_.in_force.push_back(loop_.now() - *accepted);
    }
  }

  void Disturb(uint16_t data_centre) {
    for (sim_entry& entry : entries_) {
      if (entry.data_centre == data_centre) {
        entry.disturbed = loop_.now();
      }
    }
  }

  void DisturbAll() {
    for (uint16_t place = 0; place < options_.data_centres; ++place) {
      Disturb(place);
    }
  }

  /// Begins a fault now, and ends it after a time drawn for it.
  void For(milliseconds time, const std::function<void()>& begin,
           const std::function<void()>& end) {
    begin();
    loop_.After(time, end);
  }

  void CutPair(uint16_t from, uint16_t to, milliseconds time) {
    For(
        time,
        [&] {
          cuts_.insert({from, to});
          Disturb(from);
          Disturb(to);
        },
        [this, from, to] {
          cuts_.erase({from, to});
          Disturb(from);
          Disturb(to);
        });
  }

  void CutFromTable(uint16_t place, milliseconds time) {
    For(
        time,
        [&] {
          table_cuts_.insert(place);
          Disturb(place);
        },
        [this, place] {
          table_cuts_.erase(place);
          Disturb(place);
        });
  }

  void CutEntryFromTable(size_t number, milliseconds time) {
    const uint16_t place = entries_[number].data_centre;
    For(
        time,
        [&] {
          entry_table_cuts_.insert(number);
          Disturb(place);
        },
        [this, number, place] {
          entry_table_cuts_.erase(number);
          Disturb(place);
        });
  }

  void Isolate(uint16_t place, milliseconds time) {
    CutFromTable(place, time);
    for (uint16_t other = 0; other < options_.data_centres; ++other) {
      if (other != place) {
        CutPair(place, other, time);
        CutPair(other, place, time);
      }
    }
  }

  void StopTable(milliseconds time) {
    For(
        time,
        [&] {
          table_.down = true;
          DisturbAll();
        },
        [this] {
          table_.down = false;
          DisturbAll();
        });
  }

  void Pause(size_t number, milliseconds time) {
    sim_entry& entry = entries_[number];
    entry.paused_until = loop_.now() + time;
    entry.disturbed = entry.paused_until;
  }

  void BeginFault() {
    const milliseconds time = DrawTime(milliseconds(500), milliseconds(25'000));
    constexpr uint64_t kFaultKinds = 8;
    switch (random_() % kFaultKinds) {
      case 0:
        return CutPair(PickDataCentre(), PickDataCentre(), time);
      case 1:
        return CutFromTable(PickDataCentre(), time);
      case 2:
        return Isolate(PickDataCentre(), time);
      case 3:
        return StopTable(time);
      case 4:
        return Pause(PickEntry(), time);
      case 5:
        return CutEntryFromTable(PickEntry(), time);
      case 6:
        return RestartDataCentre(PickDataCentre());
      default:
        return Restart(PickEntry());
    }
  }

  void RestartDataCentre(uint16_t place) {
    for (size_t number = 0; number < entries_.size(); ++number) {
      if (entries_[number].data_centre == place) {
        Restart(number);
      }
    }
  }

  void EndAllFaults() {
    cuts_.clear();
    table_cuts_.clear();
    entry_table_cuts_.clear();
    table_.down = false;
    table_.rates = {};
    DisturbAll();
    for (sim_entry& entry : entries_) {
      entry.paused_until = instant{};
    }
  }

  /// Checks every answer that operators got against the history, and that the
  /// last accepted version is in force everywhere.
  void CheckEnd() {
    const config_head last =
        ReadHead(table_, environment::kProduction).assume_value();
    report_.accepted = last.version;
    std::map<std::string, config_head> history;
    std::map<uint64_t, config_head> by_version;
    const std::vector<config_head> rows =
        ReadHistory(table_, environment::kProduction, UINT32_MAX)
            .assume_value();
    for (const config_head& head : rows) {
      history[head.operation] = head;
      by_version[head.version] = head;
    }
    for (const sim_command& command : commands_) {
      CheckCommand(command, history, by_version);
    }
    if (by_version.size() != last.version) {
      ++report_.lost_accepts;
    }
    for (const sim_entry& entry : entries_) {
      if (entry.alive && entry.applied != last.version) {
        ++report_.lost_accepts;
      }
    }
  }

  void CheckCommand(const sim_command& command,
                    const std::map<std::string, config_head>& history,
                    const std::map<uint64_t, config_head>& by_version) {
    const auto made = history.find(command.operation);
    if (command.told.code == result_code::kOk) {
      const auto told = by_version.find(command.told.head.version);
      const bool kept = told != by_version.end() &&
                        told->second.digest == command.digest &&
                        told->second.operation == command.told.head.operation;
      report_.lost_accepts += kept ? 0 : 1;
    } else if (command.told.code != result_code::kConfigOutcomeUnknown) {
      report_.lost_accepts += made == history.end() ? 0 : 1;
    }
  }

  config_sim_options options_;
  std::mt19937_64 random_;
  event_loop loop_;
  sim_table table_;
  std::vector<sim_entry> entries_;
  std::map<std::string, size_t> index_;
  std::set<std::pair<uint16_t, uint16_t>> cuts_;
  std::set<uint16_t> table_cuts_;
  std::set<size_t> entry_table_cuts_;
  std::vector<sim_command> commands_;
  std::string last_digest_;
  uint64_t changes_ = 0;
  uint64_t in_force_ = 0;
  uint64_t head_reads_ = 0;
  config_sim_report report_;
};

}  // namespace

config_sim_report RunConfigSim(const config_sim_options& options) {
  return config_sim(options).Run();
}

}  // namespace tarragondrift::bench
