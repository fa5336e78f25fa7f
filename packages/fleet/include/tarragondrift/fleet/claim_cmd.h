// Claims on jobs, as their origins see them. A caller whose connection broke
// submits its job again at another entry, while its earlier request may still
// be on its way to the first one, or the first one may not know that the caller
// has left. So an entry starts a job only after the job's arbiter has granted
// it. An entry that does not hear all arbiters has a candidate ask for it.
#ifndef TARRAGONDRIFT_FLEET_CLAIM_CMD_H_
#define TARRAGONDRIFT_FLEET_CLAIM_CMD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/engine_cmd.h"

namespace tarragondrift::fleet {

/// Asks the arbiters of a job that is to be started.
/// @return the claim if it was granted at once; unset if the job waits in
///   `state.claiming_jobs` or was answered.
std::optional<claim_inquiry> ClaimJob(engine& state, const job_arrival& arrival,
                                      const job_plan& plan, instant now);

/// Adds to a log line which arbiters granted a claim, how many were asked, and
/// a digest of the entries among which they were chosen.
void DescribeGrant(log_line& line, const claim_inquiry& inquiry);

/// When an end of a claim is sent.
enum class release_sending : uint8_t { kWithNextEnvelope, kAtOnce };

/// Tells the arbiters of a submission that it has ended. Only where its caller
/// has the whole answer can this wait: others submit the job again soon.
void ReleaseClaims(engine& state, const std::vector<uint64_t>& arbiters,
                   const claim_release& release, release_sending sending,
                   instant now);

/// Ends the claims of an entry that has been restarted, as its tasks end.
/// @param known_alive the latest time at which it is known to have been alive.
void EndClaimsOf(engine& state, uint64_t origin, instant known_alive,
                 instant now);

/// Handle messages; `from` is the sender.
void OnJobClaim(engine& state, uint64_t from, job_claim claim, instant now);
void OnClaimVerdict(engine& state, uint64_t from, const claim_verdict& verdict,
                    instant now);
void OnClaimRelease(engine& state, uint64_t from, const claim_release& release,
                    instant now);

/// Asks further arbiters where one did not answer, follows changes of the
/// arbiters, and drops records that are too old.
void TickClaims(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CLAIM_CMD_H_
