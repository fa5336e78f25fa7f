// The numbered result codes of the whole system; docs/RESULT_CODES.md is their
// table.
#ifndef TARRAGONDRIFT_CORE_RESULT_CODE_H_
#define TARRAGONDRIFT_CORE_RESULT_CODE_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace tarragondrift {

/// Every outcome that is reported to a caller, an operator or a peer.
enum class result_code : uint16_t {
  kOk = 0,

  // 1xx: the request itself is wrong; nothing was run.
  kMalformedRequest = 100,
  kRequestTooLarge = 101,
  kUnknownUpstream = 102,
  kUnknownContract = 103,
  kUnknownTeam = 104,
  kDuplicateTaskName = 105,
  kInvalidDuration = 106,
  kInvalidSubmissionId = 107,
  kContentMismatch = 108,
  kUnauthorized = 109,
  kNotFound = 110,
  kTooManyTasks = 111,

  // 2xx: refused before the first start; nothing was run ("not run" is true).
  kNotRunOverloaded = 200,
  kNotRunDeadline = 201,
  kNotRunQuota = 202,
  kNotRunDraining = 203,
  kNotRunCancelled = 204,
  kNotRunStoreUnavailable = 205,
  kNotRunNoInstance = 206,
  kNotRunNoConfig = 207,
  kNotRunRecorded = 208,
  kNotRunStaleId = 209,

  // 3xx: the whole job failed after at least one start.
  kTaskFailed = 300,
  kCancelledAfterStart = 301,
  kDeadlineExceeded = 302,
  kTaskOutcomeUnknown = 303,
  kStoppedAfterStart = 304,

  // 4xx: the outcome of the submission is not known here.
  kOutcomeUnknown = 400,
  kOwnerUnreachable = 401,
  kAnswerExpired = 402,
  kOwnerGone = 403,
  kRefusedForNow = 404,

  // 5xx: the platform.
  kStoreUnavailable = 500,
  kStoreConflict = 501,
  kStoreUnknown = 502,
  kStoreThrottled = 503,

  // 6xx: configuration.
  kConfigInvalid = 600,
  kConfigConflict = 601,
  kConfigDigestUnknown = 602,
  kConfigOutcomeUnknown = 603,

  // 7xx: links between processes.
  kPeerUnreachable = 700,
  kUpstreamUnreachable = 701,
  kUpstreamRefused = 702,
  kUpstreamFailed = 703,
  kUpstreamTimeout = 704,

  // 9xx: defects.
  kInternal = 900,
};

/// One row of the table of result codes.
struct result_code_info {
  result_code code;
  std::string_view name;
  /// What happened, in one sentence.
  std::string_view cause;
  /// What the recipient should do.
  std::string_view remedy;
  /// The HTTP status that carries it.
  uint16_t http_status;
};

/// Returns every result code in ascending order.
/// @return a view of a constant table.
std::span<const result_code_info> ResultCodeTable();

/// Returns the table row of a code; the row of kInternal when the code is not
/// in the table.
const result_code_info& DescribeResultCode(result_code code);

/// Whether a code promises that no task of the submission was started.
bool PromisesNotRun(result_code code);

/// The std::error_category of result codes.
const std::error_category& ResultCategory();

/// Converts a result code to std::error_code; found by argument-dependent
/// lookup.
std::error_code make_error_code(result_code code);  // NOLINT: standard's name

/// A value, or the result code that says why there is none.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, result_code,
                                    boost::outcome_v2::policy::terminate>;

namespace outcome = boost::outcome_v2;

}  // namespace tarragondrift

template <>
struct std::is_error_code_enum<tarragondrift::result_code> : std::true_type {};

#endif  // TARRAGONDRIFT_CORE_RESULT_CODE_H_
