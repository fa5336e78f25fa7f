// The witnesses of a job's claim, and changes of their list.
#ifndef TARRAGONDRIFT_FLEET_WITNESS_LIST_CMD_H_
#define TARRAGONDRIFT_FLEET_WITNESS_LIST_CMD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Takes the list that was read from the store; version 0 if there is none.
void ApplyWitnessList(engine& state, const witness_list& list, instant now);

/// Takes a list from a peer.
/// @param sent when the message was sent, at the earliest.
void OnWitnessUpdate(engine& state, const witness_update& update, instant sent,
                     instant now);

/// Takes note that the store still has the known list.
void ConfirmWitnessList(engine& state, instant confirmed);

/// Returns the time since the list is known to have been the one in the store.
std::chrono::milliseconds WitnessAge(const engine& state, instant now);

/// Whether the list is known, and recent enough for claims: a list that is
/// older than `witness_list_max_age` may have been changed twice.
bool KnowsWitnesses(const engine& state, instant now);

/// Whether an instance is on the list, or on the former one.
bool IsListedWitness(const engine& state, const std::string& name);

/// Whether half of the witnesses can be heard, or more.
bool HearsMostWitnesses(const engine& state);

/// Whether another submission of a job may be granted without this entry being
/// told: it reaches the store, but hears fewer than two of the job's witnesses.
bool MayMissNotices(const engine& state, const std::string& job, instant now);

/// Updates whether this entry is isolated: it reaches the store, but no longer
/// hears more than half of the witnesses. The others may take over its workers
/// and run the next submissions of its jobs. So it acquires none until the jobs
/// that it had have ended, and for `isolation_wait` at least.
void UpdateIsolation(engine& state, instant now);

/// Whether this entry decides claims: it knows those that may be active. A
/// process that has just started does not know the claims of the one before it.
bool DecidesClaims(const engine& state, instant now);

/// Takes note of a request for a row that the store has not answered.
void NoteRowUnanswered(engine& state, instant asked, instant now);

/// Whether this entry's data centre is cut off, as far as this entry can tell:
/// it hears no witness of another one, and the store does not answer.
bool IsCutOff(const engine& state, instant now);

/// Whether this entry has heard no witness of another data centre for as long
/// as it takes them to count as silent, and has not been paused meanwhile.
bool HearsOnlyOwnDataCentre(const engine& state, instant now);

/// Returns the names of the witnesses of this entry's data centre.
std::vector<std::string> ListLocalWitnesses(const engine& state);

/// Returns the incarnation of a witness that can be asked, 0 if it cannot be.
uint64_t FindWitness(const engine& state, const std::string& name);

/// Returns the names of a job's witnesses in a list: two of different data
/// centres, chosen by weighted rendezvous hashing. Fewer than two only if the
/// list has no more.
std::vector<std::string> ChooseWitnesses(const std::vector<witness>& list,
                                         const std::string& job);

/// Returns the witnesses of a job, by list: one panel, or two while the list
/// changes and the job's witnesses with it.
std::vector<std::vector<std::string>> ChoosePanels(const engine& state,
                                                   const std::string& job);

/// Whether enough witnesses can be asked for claims to be granted, with the
/// store where it was read lately.
bool ReachesWitnesses(const engine& state, instant now);

/// Whether this entry is the first of the witnesses that it can hear.
bool IsFirstWitness(const engine& state);

/// Returns the list that should replace the known one, if any.
std::optional<witness_list> PlanWitnessList(const engine& state, instant now);

/// Requests the list's change once it has been due for long enough. Candidates
/// do so one after the other.
void TickWitnessList(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WITNESS_LIST_CMD_H_
