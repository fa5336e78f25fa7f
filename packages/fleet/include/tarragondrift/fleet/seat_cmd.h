// Handovers of seats on the list of witnesses from one instance to another.
#ifndef TARRAGONDRIFT_FLEET_SEAT_CMD_H_
#define TARRAGONDRIFT_FLEET_SEAT_CMD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Returns the seats of a list that a job is assigned to: two of different data
/// centres, chosen by weighted rendezvous hashing. Fewer than two only if the
/// list has no more.
std::vector<const witness*> ChooseSeats(const std::vector<witness>& list,
                                        const std::string& job);

/// Takes note of the seats that change hands with a new list, which is the
/// known one when this returns.
void FollowHandovers(engine& state, const witness_list& before, instant now);

/// Takes note that all claims of a seat have been told.
void OnSeatHandover(engine& state, const seat_handover& handover);

/// Tells the claims of seats that this entry has given to others to those.
void TickHandovers(engine& state, instant now);

/// What an entry knows of the claims on a job as a holder of its seats.
enum class seat_knowledge : uint8_t {
  /// It holds no seat of the job.
  kNone,
  /// It may not know claims that a holder before it has granted.
  kPartial,
  kFull,
};

seat_knowledge KnowledgeOf(const engine& state, const std::string& job,
                           instant now);

/// Returns the list with the seats of this entry's data centre given to other
/// entries where their holders have left or are missing, if there are any.
std::optional<witness_list> PlanHandovers(const engine& state, instant now);

/// Returns the list with a seat of an entry that has several given to one that
/// has none, if there are such in this entry's data centre.
std::optional<witness_list> PlanRebalance(const engine& state);

/// While this entry is leaving, waits for a while until others have its seats.
void TickSuccession(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_SEAT_CMD_H_
