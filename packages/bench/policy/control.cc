// The control side of an entry: heartbeats, the share row, loans.
#include <algorithm>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/loan_cmd.h"
#include "tarragondrift/core/share_cmd.h"
#include "world.h"

namespace tarragondrift::bench {
namespace {

constexpr upstream_id kUpstream{0, 0};
constexpr milliseconds kTick{100};
constexpr milliseconds kNearBeat{500};
constexpr milliseconds kFarBeat{1'000};
/// One way of a call to the table; a synced write takes several milliseconds.
constexpr microseconds kTableLatency{3'000};
/// Far lenders that a speaker tells its data centre of.
constexpr size_t kMostFarLenders = 8;

// Sizes on the wire, with the headers of HTTP/2 and TCP, in bytes.
constexpr double kMessageOverhead = 120;
constexpr double kBeatSize = 64;
constexpr double kPerLender = 12;
constexpr double kPerLeaving = 22;
constexpr double kLoanSize = 32;
constexpr double kPerItem = 26;
constexpr double kRowSize = 400;

void CountBytes(real_entry& from, real_entry& to, double bytes) {
  from.control_bytes += bytes + kMessageOverhead;
  to.control_bytes += bytes + kMessageOverhead;
}

/// Tells whether two entries can reach each other now.
bool Reaches(const world& state, const real_entry& left,
             const real_entry& right) {
  const bool far = left.data_centre != right.data_centre;
  return !left.peers_cut && !right.peers_cut &&
         !(far && state.data_centres_cut);
}

/// Sends something between entries.
void Send(world& state, real_entry& from, uint32_t to, double bytes,
          std::function<void(real_entry&)> take) {
  real_entry& target = state.entries[to];
  ++state.totals.messages;
  CountBytes(from, target, bytes);
  if (!Reaches(state, from, target)) {
    return;
  }
  const microseconds way = Latency(state, from.data_centre, target.data_centre);
  Deliver(state, to, way, std::move(take));
}

incarnation IncarnationOf(const real_entry& entry) {
  return entry.slots.options.self;
}

uint32_t IndexOf(const world& state, incarnation who) {
  for (const real_entry& entry : state.entries) {
    if (IncarnationOf(entry) == who) {
      return entry.index;
    }
  }
  return 0;
}

std::vector<shared_instance> SharedInstances(const world& state,
                                             const real_entry& entry) {
  std::vector<shared_instance> list;
  for (const real_instance& real : state.instances) {
    const bool here = real.data_centre == entry.data_centre;
    const instance_id id = FindInstance(entry.dispatch, real.address);
    if (!here && !id.Valid()) {
      continue;
    }
    const uint32_t in_flight =
        id.Valid() ? entry.dispatch.instances.Get(id).in_flight : 0;
    list.push_back({.address = real.address,
                    .slots = here ? real.slots : 0,
                    .in_flight = in_flight});
  }
  return list;
}

std::vector<loan_view> LoanViews(const world& state, const real_entry& entry) {
  std::vector<loan_view> list;
  for (const shared_instance& shared : SharedInstances(state, entry)) {
    const instance_id id = FindInstance(entry.dispatch, shared.address);
    const upstream_instance* const seen = entry.dispatch.instances.Find(id);
    const bool bad =
        seen != nullptr &&
        (seen->leaving || seen->health.stage != health_stage::kHealthy);
    list.push_back({.address = shared.address,
                    .upstream = "plata",
                    .slots = shared.slots,
                    .in_flight = shared.in_flight,
                    .leaving = bad});
  }
  return list;
}

/// Makes sure that borrowed slots elsewhere are known to the dispatcher.
void KnowBorrowed(real_entry& entry) {
  for (const loan_in& loan : entry.slots.borrowed) {
    for (const loan_item& item : loan.items) {
      if (!FindInstance(entry.dispatch, item.address).Valid()) {
        SetInstance(entry.dispatch,
                    {.upstream = kUpstream, .address = item.address});
      }
    }
  }
}

// --- the table ---

bool ReachesTable(const world& state, const real_entry& entry) {
  return !state.table_down && !entry.table_cut;
}

void ReadRow(world& state, real_entry& entry) {
  state.totals.messages += 2;
  entry.control_bytes += kRowSize + kMessageOverhead;
  const instant begun = state.loop.now();
  if (!ReachesTable(state, entry)) {
    return;
  }
  state.loop.After(kTableLatency, [&state, index = entry.index, begun] {
    const share_row_read read = state.rows[state.entries[index].data_centre];
    Deliver(state, index, kTableLatency, [read, begun, &state](real_entry& at) {
      ApplyShareRow(at.slots, read, begun, state.loop.now());
      ApplyShares(state, at);
    });
  });
}

void WriteRow(world& state, real_entry& entry, const share_row_read& wanted) {
  state.totals.messages += 2;
  entry.control_bytes += kRowSize + kMessageOverhead;
  if (!ReachesTable(state, entry)) {
    return;
  }
  state.loop.After(kTableLatency, [&state, index = entry.index, wanted] {
    share_row_read& kept = state.rows[state.entries[index].data_centre];
    if (kept.version == wanted.version) {
      kept.row = wanted.row;
      ++kept.version;
    }
    // Whatever came of it, or when the reply is lost, a read tells.
    Deliver(state, index, kTableLatency, [&state](real_entry& there) {
      RequestShareRowRead(there.slots);
      ReadRow(state, there);
    });
  });
}

// --- loans ---

void TakeLoanReturn(world& state, real_entry& entry,
                    const loan_return& message) {
  ApplyReturn(entry.slots, message);
  ApplyShares(state, entry);
  Pump(state, entry);
}

void SendReturns(world& state, real_entry& entry,
                 const std::vector<return_target>& returns) {
  for (const return_target& target : returns) {
    const double size =
        kLoanSize + kPerItem * static_cast<double>(target.message.items.size());
    Send(state, entry, IndexOf(state, target.to), size,
         [&state, message = target.message](real_entry& there) {
           TakeLoanReturn(state, there, message);
         });
  }
  if (!returns.empty()) {
    ApplyShares(state, entry);
  }
}

void GiveBack(world& state, real_entry& entry) {
  if (entry.slots.borrowed.empty()) {
    return;
  }
  const bool idle = QueuedTasks(entry.dispatch) == 0;
  SendReturns(state, entry,
              ReturnLoans(entry.slots, LoanViews(state, entry), idle,
                          state.loop.now()));
}

void TakeLoanGrant(world& state, real_entry& entry, const loan_grant& grant) {
  if (ApplyGrant(entry.slots, grant, state.loop.now())) {
    ++state.totals.loans;
    KnowBorrowed(entry);
    ApplyShares(state, entry);
  } else {
    entry.heard[IndexOf(state, grant.from)].idle = 0;
    entry.far_idle.erase(IndexOf(state, grant.from));
  }
  Pump(state, entry);
}

void TakeLoanRequest(world& state, real_entry& entry,
                     const loan_request& request) {
  SendReturns(state, entry,
              ReturnTo(entry.slots, request.from, LoanViews(state, entry),
                       state.loop.now()));
  const auto queued = static_cast<uint32_t>(QueuedTasks(entry.dispatch));
  const loan_grant grant = GrantLoan(
      entry.slots, request, LoanViews(state, entry), queued, state.loop.now());
  ApplyShares(state, entry);
  const double size =
      kLoanSize + kPerItem * static_cast<double>(grant.items.size());
  Send(state, entry, IndexOf(state, request.from), size,
       [&state, grant](real_entry& there) {
         TakeLoanGrant(state, there, grant);
       });
}

std::vector<lender_view> Lenders(const world& state, const real_entry& entry) {
  std::vector<lender_view> list;
  for (const auto& [index, heard] : entry.heard) {
    const real_entry& peer = state.entries[index];
    if (peer.data_centre == entry.data_centre) {
      list.push_back({IncarnationOf(peer), heard.idle, true});
    }
  }
  for (const auto& [index, idle] : entry.far_idle) {
    list.push_back({IncarnationOf(state.entries[index]), idle, false});
  }
  return list;
}

// --- heartbeats ---

uint32_t LendableSlots(const real_entry& entry) {
  const bool waits = QueuedTasks(entry.dispatch) > 0;
  return waits ? 0 : FreeSlots(entry.dispatch, kUpstream);
}

/// Tells whether the entry speaks for its data centre.
bool Speaks(const world& state, const real_entry& entry) {
  for (const auto& [index, heard] : entry.heard) {
    const bool fresh = state.loop.now() - heard.at < seconds{3};
    if (state.entries[index].data_centre == entry.data_centre &&
        index < entry.index && fresh && !heard.leaving) {
      return false;
    }
  }
  return true;
}

/// Keeps the best lenders only, so that beats stay small.
std::map<uint32_t, uint32_t> BestLenders(
    const std::map<uint32_t, uint32_t>& all) {
  std::vector<std::pair<uint32_t, uint32_t>> order;
  for (const auto& [index, idle] : all) {
    if (idle > 0) {
      order.emplace_back(idle, index);
    }
  }
  std::sort(order.rbegin(), order.rend());
  order.resize(std::min(order.size(), kMostFarLenders));
  std::map<uint32_t, uint32_t> best;
  for (const auto& [idle, index] : order) {
    best[index] = idle;
  }
  return best;
}

beat MakeHeartbeat(world& state, real_entry& entry, uint32_t to) {
  const heard_entry& heard = entry.heard[to];
  const incarnation target = IncarnationOf(state.entries[to]);
  return {.from = entry.index,
          .number = entry.beats,
          .acknowledges = SupportsPeer(entry.slots, target) ? heard.number : 0,
          .idle = LendableSlots(entry),
          .leaving = entry.leaving,
          .row_version =
              entry.slots.read.has_value() ? entry.slots.read->version : 0,
          .leaving_instances = entry.leaving_instances,
          .far_idle = Speaks(state, entry) ? BestLenders(entry.far_idle)
                                           : std::map<uint32_t, uint32_t>{}};
}

/// Takes the acknowledgement that a beat carries.
void TakeAcknowledgement(heard_entry& heard, uint64_t number) {
  const auto sent = heard.sent.find(number);
  if (sent == heard.sent.end()) {
    return;
  }
  heard.acknowledged = std::max(heard.acknowledged, sent->second);
  heard.sent.erase(heard.sent.begin(), sent);
}

void HearNearBeat(world& state, real_entry& entry, const beat& message) {
  heard_entry& heard = entry.heard[message.from];
  heard.at = state.loop.now();
  heard.number = message.number;
  heard.idle = message.idle;
  heard.leaving = message.leaving;
  TakeAcknowledgement(heard, message.acknowledges);
  const uint64_t known =
      entry.slots.read.has_value() ? entry.slots.read->version : 0;
  if (message.row_version > known) {
    RequestShareRowRead(entry.slots);
  }
  for (const uint32_t instance : message.leaving_instances) {
    LearnLeaving(state, entry, instance);
  }
  if (!message.far_idle.empty()) {
    entry.far_idle = message.far_idle;
  }
}

void SendNearBeats(world& state, real_entry& entry) {
  ++entry.beats;
  for (const real_entry& peer : state.entries) {
    const bool target = peer.data_centre == entry.data_centre &&
                        peer.index != entry.index && peer.alive;
    if (!target) {
      continue;
    }
    const beat message = MakeHeartbeat(state, entry, peer.index);
    entry.heard[peer.index].sent[entry.beats] = state.loop.now();
    const double size =
        kBeatSize + kPerLender * static_cast<double>(message.far_idle.size()) +
        kPerLeaving * static_cast<double>(message.leaving_instances.size());
    Send(state, entry, peer.index, size, [&state, message](real_entry& there) {
      HearNearBeat(state, there, message);
    });
  }
}

/// What a speaker tells of its data centre: idle slots by entry.
std::map<uint32_t, uint32_t> OwnCentreIdle(const world& state,
                                           const real_entry& entry) {
  std::map<uint32_t, uint32_t> idle;
  idle[entry.index] = LendableSlots(entry);
  for (const auto& [index, heard] : entry.heard) {
    if (state.entries[index].data_centre == entry.data_centre) {
      idle[index] = heard.idle;
    }
  }
  return idle;
}

/// Finds whoever speaks for another data centre.
const real_entry* SpeakerOf(const world& state, uint32_t data_centre) {
  for (const real_entry& entry : state.entries) {
    if (entry.alive && !entry.leaving && entry.data_centre == data_centre) {
      return &entry;
    }
  }
  return nullptr;
}

void SendFarBeats(world& state, real_entry& entry) {
  if (!Speaks(state, entry)) {
    return;
  }
  const auto idle = OwnCentreIdle(state, entry);
  const auto centres = static_cast<uint32_t>(state.rows.size());
  for (uint32_t centre = 0; centre < centres; ++centre) {
    const real_entry* const speaker = SpeakerOf(state, centre);
    if (centre == entry.data_centre || speaker == nullptr) {
      continue;
    }
    const double size =
        kBeatSize + kPerLender * static_cast<double>(idle.size());
    Send(state, entry, speaker->index, size, [idle](real_entry& there) {
      for (const auto& [index, slots] : idle) {
        there.far_idle[index] = slots;
      }
    });
  }
}

// --- the loops ---

/// Tells the shares what was heard.
void UpdatePeers(world& state, real_entry& entry) {
  std::vector<share_peer> peers;
  for (const auto& [index, heard] : entry.heard) {
    const real_entry& peer = state.entries[index];
    if (peer.data_centre == entry.data_centre) {
      peers.push_back({.who = IncarnationOf(peer),
                       .last_heard = heard.at,
                       .acknowledged = heard.acknowledged,
                       .leaving = heard.leaving,
                       .proven_dead = heard.proven_dead});
    }
  }
  UpdateSharePeers(entry.slots, peers);
}

void Tick(world& state, real_entry& entry) {
  const instant now = state.loop.now();
  TickDispatcher(entry.dispatch, now);
  UpdatePeers(state, entry);
  const auto shared = SharedInstances(state, entry);
  const share_row_requests requested = TickShares(entry.slots, shared, now);
  if (requested.read) {
    ReadRow(state, entry);
  }
  if (requested.write.has_value()) {
    WriteRow(state, entry, *requested.write);
  }
  GiveBack(state, entry);
  ApplyShares(state, entry);
  Pump(state, entry);
}

/// Runs a step again and again for as long as the entry lives.
void Repeat(world& state, uint32_t entry, milliseconds interval,
            void (*step)(world&, real_entry&)) {
  Deliver(state, entry, interval, [&state, interval, step](real_entry& there) {
    step(state, there);
    Repeat(state, there.index, interval, step);
  });
}

}  // namespace

void ApplyShares(world& state, real_entry& entry) {
  const auto shared = SharedInstances(state, entry);
  for (const usable_share& usable :
       UsableShares(entry.slots, shared, state.loop.now())) {
    SetInstance(entry.dispatch, {.upstream = kUpstream,
                                 .address = usable.address,
                                 .share = usable.slots});
  }
}

void SeekLoan(world& state, real_entry& entry) {
  const uint32_t lacking =
      LoanDemand(entry.dispatch, kUpstream, state.loop.now());
  if (lacking == 0 || !state.rules.loans || entry.leaving) {
    return;
  }
  const auto lenders = Lenders(state, entry);
  const auto ask =
      RequestLoan(entry.slots, "plata", lacking, lenders, state.loop.now());
  if (!ask.has_value()) {
    return;
  }
  ++state.totals.requests;
  Send(state, entry, IndexOf(state, ask->to), kLoanSize,
       [&state, request = ask->request](real_entry& there) {
         TakeLoanRequest(state, there, request);
       });
}

void LearnLeaving(world& state, real_entry& entry, uint32_t instance) {
  real_instance& real = state.instances[instance];
  real.first_sign = std::min(real.first_sign, state.loop.now());
  auto& known = entry.leaving_instances;
  if (std::find(known.begin(), known.end(), instance) == known.end()) {
    known.push_back(instance);
  }
  const instance_id id = FindInstance(entry.dispatch, real.address);
  MarkLeaving(entry.dispatch, id, state.loop.now());
}

void StartControl(world& state, uint32_t entry) {
  // Entries do not tick in step.
  const milliseconds offset{(entry * 37) % 100};
  state.loop.After(offset, [&state, entry] {
    Repeat(state, entry, kTick, Tick);
    Repeat(state, entry, kNearBeat, SendNearBeats);
    Repeat(state, entry, kFarBeat, SendFarBeats);
  });
}

}  // namespace tarragondrift::bench
