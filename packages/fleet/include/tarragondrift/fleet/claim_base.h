// Claims of entries on jobs, which keep two submissions of one job apart.
#ifndef TARRAGONDRIFT_FLEET_CLAIM_BASE_H_
#define TARRAGONDRIFT_FLEET_CLAIM_BASE_H_

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// One submission of a job.
struct job_attempt {
  /// Incarnation of its origin, and the number of its caller's request there.
  uint64_t origin = 0;
  uint64_t request = 0;

  bool operator==(const job_attempt&) const = default;
};

/// Whether a part belongs to a submission. Entries of earlier versions do not
/// tell the request of their parts.
inline bool IsOfAttempt(const job_attempt& part,
                        const job_attempt& submission) {
  return part.origin == submission.origin &&
         (part.request == 0 || part.request == submission.request);
}

/// Asks the job's arbiter whether a submission may start its tasks.
struct job_claim {
  std::string job;
  /// Incarnation of the submission's origin; 0 if it is the sender.
  uint64_t origin = 0;
  uint64_t request = 0;
  /// Timeout given by the caller, 0 if none. A caller gives the rest of its
  /// time, so of two submissions the one with the shorter timeout is later.
  std::chrono::milliseconds timeout{0};
  /// Time after which all its tasks have ended.
  std::chrono::milliseconds valid_for{0};
  /// Its caller has waited before: other controllers may have an earlier
  /// submission, which has to end first.
  bool repeated = false;
  /// Its tasks are started, with the claim at another arbiter. It is answered
  /// only if it is refused.
  bool running = false;
  /// The sender does not hear all arbiters: the receiver asks them for it.
  bool relay = false;
};

inline job_attempt AttemptOf(const job_claim& claim) {
  return {.origin = claim.origin, .request = claim.request};
}

enum class claim_outcome : uint8_t {
  kRefused,
  /// An earlier submission is being ended; another verdict follows.
  kPending,
  kGranted,
};

/// The arbiter's answer.
struct claim_verdict {
  std::string job;
  job_attempt attempt;
  claim_outcome outcome = claim_outcome::kRefused;
};

/// A submission of a job has ended.
struct claim_release {
  std::string job;
  /// Incarnation of its origin; 0 if it is the sender.
  uint64_t origin = 0;
  uint64_t request = 0;
  /// Time after which none of its tasks runs any more.
  std::chrono::milliseconds settles_in{0};
};

/// Tells a controller of the submission that a job now belongs to. Runs of
/// earlier ones are stopped, and their offers are refused.
struct claim_notice {
  std::string job;
  job_attempt attempt;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds valid_for{0};
};

/// Answers a notice once no task of other submissions runs at the sender.
struct claim_confirmation {
  std::string job;
  job_attempt attempt;
  /// False if the sender knows of a later submission.
  bool confirmed = false;
};

/// The submission of a job that an arbiter or a controller goes by.
struct claim_record {
  job_attempt attempt;
  std::chrono::milliseconds timeout{0};
  instant made;
  /// All its tasks have ended by then.
  instant until;
  /// Told to all controllers, or by the arbiter of another entry.
  bool noticed = false;
  /// What this entry has decided as its arbiter; pending while it has not.
  claim_outcome outcome = claim_outcome::kPending;
  /// It has ended; the record is kept for requests that are still on their way.
  bool released = false;
  /// Its last tasks have ended by then; valid only when it is released.
  instant settled;
};

/// A claim that its origin, or the entry that relays it, asks arbiters for.
struct claim_inquiry {
  job_claim claim;
  /// All tasks of the submission have ended by then.
  instant until;
  /// The arbiters that have not granted it; the first one was asked.
  std::vector<uint64_t> awaited;
  /// All entries that were asked or told.
  std::vector<uint64_t> told;
  /// Those that granted it.
  std::vector<uint64_t> granted_by;
  /// Digest of the entries among which they were chosen, for the log.
  uint64_t list_digest = 0;
  /// An arbiter waits for the end of an earlier submission.
  bool pending = false;
  uint32_t asks = 0;
  /// When an arbiter was last asked.
  instant asked;
};

/// A claim that this entry asks for on behalf of its origin.
struct relayed_claim {
  claim_inquiry inquiry;
  /// Its origin has the verdict. What the arbiters know is kept up to date.
  bool answered = false;
};

/// A repeated submission that waits at its arbiter for the controllers.
struct claim_round {
  /// The entry that gets the verdict.
  uint64_t asker = 0;
  job_attempt attempt;
  std::set<uint64_t> awaited;
  instant began;
};

/// A notice that is confirmed once the job's runs here have ended.
struct unconfirmed_claim {
  std::string job;
  job_attempt attempt;
  uint64_t arbiter = 0;
  instant received;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CLAIM_BASE_H_
