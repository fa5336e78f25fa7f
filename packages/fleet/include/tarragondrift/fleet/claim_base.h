// Claims of entries on jobs, which keep two submissions of one job apart.
#ifndef TARRAGONDRIFT_FLEET_CLAIM_BASE_H_
#define TARRAGONDRIFT_FLEET_CLAIM_BASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// One submission of a job.
struct job_attempt {
  /// Incarnation of its origin, and the number of its claim there.
  uint64_t origin = 0;
  uint64_t request = 0;

  auto operator<=>(const job_attempt&) const = default;
};

/// Whether a part belongs to a submission. Entries of earlier versions do not
/// tell the request of their parts.
inline bool IsOfAttempt(const job_attempt& part,
                        const job_attempt& submission) {
  return part.origin == submission.origin &&
         (part.request == 0 || part.request == submission.request);
}

/// Asks a witness of the job whether a submission may start its tasks.
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
  /// Its tasks have been started. It is answered only if it is refused.
  bool running = false;
  /// The sender does not hear all witnesses: the receiver asks them for it.
  bool relay = false;
  /// The sender's data centre is cut off, and all of its witnesses are asked.
  bool local = false;
};

inline job_attempt AttemptOf(const job_claim& claim) {
  return {.origin = claim.origin, .request = claim.request};
}

enum class claim_outcome : uint8_t {
  kRefused,
  /// An earlier submission is being ended; another verdict follows.
  kPending,
  kGranted,
  /// The witness has just started and does not decide yet.
  kAbstained,
  /// Not enough witnesses answered, and no row could be made. Nothing starts.
  kUnproven,
};

/// The answer of a witness or a relay.
struct claim_verdict {
  std::string job;
  job_attempt attempt;
  claim_outcome outcome = claim_outcome::kRefused;
  /// It answers a claim with `local` set.
  bool local = false;
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

/// The submission of a job that a witness or a controller goes by.
struct claim_record {
  job_attempt attempt;
  std::chrono::milliseconds timeout{0};
  instant made;
  /// All its tasks have ended by then.
  instant until;
  /// Told to all controllers, or by the arbiter of another entry.
  bool noticed = false;
  /// What this entry has decided as its witness; pending while it has not.
  claim_outcome outcome = claim_outcome::kPending;
  /// It has ended; the record is kept for requests that are still on their way.
  bool released = false;
  /// Its last tasks have ended by then; valid only when it is released.
  instant settled;
};

/// The witnesses of a job in one list: their incarnations, 0 for one that
/// cannot be asked.
using claim_panel = std::vector<uint64_t>;

/// A claim's row in the store, as the entry that asked for it knows it.
enum class claim_row_state : uint8_t { kNone, kAsked, kHeld, kFailed };

/// What came of the request for a claim's row.
enum class claim_row_outcome : uint8_t {
  kHeld,
  /// There is one of another submission.
  kTaken,
  /// Whether there is one is not known.
  kFailed,
};

/// A claim that its origin, or the entry that relays it, asks for.
struct claim_inquiry {
  job_claim claim;
  /// When this entry first heard of it.
  instant begun;
  /// All tasks of the submission have ended by then.
  instant until;
  /// Those that have to grant it, by list. Empty if it is relayed, and before
  /// any was asked.
  std::vector<claim_panel> panels;
  /// All entries that were asked or told.
  std::vector<uint64_t> told;
  /// Those that granted it, and those that were asked and do not decide.
  std::vector<uint64_t> granted_by;
  std::vector<uint64_t> unavailable;
  claim_row_state row = claim_row_state::kNone;
  /// When the row was requested.
  instant row_asked;
  /// Version of the list of witnesses that it goes by.
  uint64_t list_version = 0;
  /// A witness waits for the end of an earlier submission.
  bool pending = false;
  /// When a witness or relay was last asked, or last answered that it waits.
  instant asked;
};

/// A row that this entry has requested, kept until it is removed.
struct claim_row {
  std::string job;
  /// Its request was answered.
  bool settled = false;
  /// The claim was granted by the witnesses of a data centre that is cut off.
  bool local = false;
  /// When it is to be removed; unset while the claim is active.
  std::optional<instant> remove_at;
};

/// A claim that this entry asks for on behalf of its origin.
struct relayed_claim {
  claim_inquiry inquiry;
  /// Its origin has the verdict. What the witnesses know is kept up to date
  /// until the origin ends the claim.
  bool answered = false;
  claim_outcome verdict = claim_outcome::kPending;
};

/// A repeated submission that waits at its witness for the controllers.
struct claim_round {
  /// The entry that gets the verdict.
  uint64_t asker = 0;
  job_attempt attempt;
  /// The claim has `local` set.
  bool local = false;
  /// The arbiter may not know earlier submissions, so that no verdict is a
  /// refusal.
  bool is_inquiry = false;
  /// Those that were told, and those of them that have not confirmed.
  std::set<uint64_t> told;
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
