// Asking for a claim. A submission may start when two of three know of it: the
// two witnesses of its job, and a row of the store, which is made only where
// one of the witnesses does not answer. Any two such pairs have one in common,
// so that two submissions cannot start without one of the three knowing both.
#ifndef TARRAGONDRIFT_FLEET_CLAIM_INQUIRY_CMD_H_
#define TARRAGONDRIFT_FLEET_CLAIM_INQUIRY_CMD_H_

#include <cstdint>

#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/engine_cmd.h"

namespace tarragondrift::fleet {

/// Returns a claim with the time that is left of it.
job_claim MakeClaim(const claim_inquiry& inquiry, instant now);

/// Asks the witnesses of a claim, or an entry that relays it.
/// @return kPending while answers are awaited, kUnproven if there cannot be
///   enough of them.
claim_outcome BeginInquiry(engine& state, claim_inquiry& inquiry, instant now);

/// Takes the answer of a witness or a relay.
claim_outcome TakeVerdict(engine& state, claim_inquiry& inquiry, uint64_t from,
                          const claim_verdict& verdict, instant now);

/// Takes the outcome of the claim's row.
claim_outcome TakeRow(engine& state, claim_inquiry& inquiry,
                      claim_row_outcome outcome, instant now);

/// Goes on with an inquiry as time passes: where an answer is late, the row is
/// made or another relay is asked.
claim_outcome ContinueInquiry(engine& state, claim_inquiry& inquiry,
                              instant now);

/// Tells the witnesses that can be heard, or the relay, of a submission whose
/// tasks have been started, unless they know it.
void TellRunning(engine& state, claim_inquiry& inquiry, instant now);

/// Adds to a log line who granted a claim, who did not answer, and by which
/// list they were chosen.
void DescribeGrant(log_line& line, const claim_inquiry& inquiry);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CLAIM_INQUIRY_CMD_H_
