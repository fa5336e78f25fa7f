// Claims on jobs, as their origins and relays see them. A caller whose
// connection broke submits its job again at another entry, while its earlier
// request may still be on its way to the first one, or the first one may not
// know that the caller has left. So an entry starts a job only when the job's
// witnesses, or one of them and a row of the store, have granted its claim. An
// entry that does not hear all witnesses has a candidate ask for it.
#ifndef TARRAGONDRIFT_FLEET_CLAIM_CMD_H_
#define TARRAGONDRIFT_FLEET_CLAIM_CMD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Asks for the claim of a job that is to be started.
/// @return the claim if it was granted at once; unset if the job waits in
///   `state.claiming_jobs` or was answered.
std::optional<claim_inquiry> ClaimJob(engine& state, const job_arrival& arrival,
                                      const job_plan& plan, instant now);

/// When an end of a claim is sent.
enum class release_sending : uint8_t { kWithNextEnvelope, kAtOnce };

/// Tells those that know of a submission that it has ended, and removes its
/// row. Only where its caller has the whole answer can this wait: others submit
/// the job again soon.
void ReleaseClaims(engine& state, const std::vector<uint64_t>& witnesses,
                   const claim_release& release, release_sending sending,
                   instant now);

/// Ends the claims of an entry that has been restarted, as its tasks end.
void EndClaimsOf(engine& state, uint64_t origin, instant now);

/// Returns the time after which the claims have ended that this entry knows of
/// and that were made before it knew of a peer's process. The process before
/// that one may have granted them, no later one.
std::chrono::milliseconds ClaimsEndIn(const engine& state, const peer& to,
                                      instant now);

/// Handle messages; `from` is the sender.
void OnJobClaim(engine& state, uint64_t from, job_claim claim, instant now);
void OnClaimVerdict(engine& state, uint64_t from, const claim_verdict& verdict,
                    instant now);
void OnClaimRelease(engine& state, uint64_t from, const claim_release& release,
                    instant now);

/// Handles the outcome of a row that was requested.
void OnClaimRow(engine& state, const std::string& job,
                const job_attempt& attempt, claim_row_outcome outcome,
                instant now);

/// Goes on with claims whose answers are late, follows changes of the
/// witnesses, and drops records that are too old.
void TickClaims(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CLAIM_CMD_H_
