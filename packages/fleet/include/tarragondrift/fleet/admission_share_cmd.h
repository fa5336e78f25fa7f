// Shares of scarce capacity. Answers the load in which capacity is too small
// for some seconds: wide and long jobs need more free capacity at one moment
// than small ones and would be refused first, while small ones take all that
// becomes free. Bands of jobs that are served better than others leave headroom
// for those.
#ifndef TARRAGONDRIFT_FLEET_ADMISSION_SHARE_CMD_H_
#define TARRAGONDRIFT_FLEET_ADMISSION_SHARE_CMD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/fleet/admission_share_base.h"
#include "tarragondrift/fleet/peer_base.h"
#include "tarragondrift/fleet/queue_config_base.h"

namespace tarragondrift::fleet {

/// Returns the band's name in logs and metrics.
const char* DescribeBand(size_band band);

/// Returns the band of a job of the given size. All jobs are in the lowest band
/// until enough sizes of the queue are known.
size_band FindBand(const share_table& table, const std::string& queue,
                   double core_ms);

/// Counts a job that was accepted or refused for lack of capacity, and learns
/// the queue's bounds from its size.
void RecordAsked(share_table& table, const std::string& queue,
                 const share_job& job, bool granted, instant now);

/// Takes back the grant of a job that was accepted but had to be refused by the
/// controllers.
void RevokeGrant(share_table& table, const std::string& queue,
                 const share_job& job, instant granted_at, instant now);

/// Decides whether a job that could be served must be refused to leave headroom
/// for less served bands. While every band gets nearly all that it asks for,
/// no job must.
/// @param capacity sum of the load reports of the controllers that may serve
/// the job.
/// @param load_known whether one of them is recent. Otherwise headroom
/// follows from the requests to this entry alone.
share_decision CheckShare(const share_table& table, const fleet_config& config,
                          const queue_config& queue, const share_job& job,
                          const load_report& capacity, bool load_known,
                          instant now);

/// Limits of the retry delay, and what is known of the capacity.
struct retry_request {
  std::chrono::microseconds predicted_wait{0};
  std::chrono::milliseconds min_delay{0};
  std::chrono::milliseconds max_delay{0};
  /// Forecast rate of task completions; used while nothing was granted lately.
  double ends_per_second = 0;
};

/// Returns the retry delay of a job refused for lack of capacity: the time
/// until the capacity that becomes free has served the jobs of its band refused
/// before it. Later refusals return no earlier.
std::chrono::milliseconds ScheduleReturn(
    share_table& table, const fleet_config& config, const queue_config& queue,
    const share_job& job, const retry_request& request, instant now);

/// Drops the queues that a configuration no longer has.
void DropUnconfigured(share_table& table, const fleet_config& config);

/// Returns the demand of all bands with requests.
std::vector<band_snapshot> SnapshotOf(const share_table& table, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ADMISSION_SHARE_CMD_H_
