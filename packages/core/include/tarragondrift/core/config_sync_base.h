// Distribution of the configuration in force to the entries, as plain data.
// The head row is the table row that holds the version of the current document.
#ifndef TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_
#define TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Options for the distribution of configuration.
struct config_sync_options {
  /// Time between two reads of the head row by the speaker of a data centre.
  /// Reads may overlap when the table is slow.
  std::chrono::milliseconds poll_interval{1'000};
  /// The same for the other entries. Their reads matter when the speaker cannot
  /// reach the table and they can.
  std::chrono::milliseconds backup_poll_interval{5'000};
  /// When a fetch has not delivered the document after this time, the next
  /// source is tried as well.
  std::chrono::milliseconds fetch_interval{1'000};
  /// A new entry listens to its peers for at least this long before it serves.
  std::chrono::milliseconds min_settle_time{2'500};
  /// A new entry waits at most this long for the table and for peers that do
  /// not answer.
  std::chrono::milliseconds max_settle_time{6'000};
};

/// The kinds of requests that the caller carries out.
enum class config_request_kind : uint8_t {
  /// Read the head row of the table; the result goes to OnConfigPollResult.
  kPollHead,
  /// Read a document from the table; the result goes to OnConfigFetchResult.
  kFetchFromPlatform,
  /// Request a peer's document; the result goes to OnConfigFetchResult.
  kFetchFromPeer,
};

/// A request to carry out. Requests may overlap and may fail.
struct config_request {
  config_request_kind kind = config_request_kind::kPollHead;
  /// The lowest version that satisfies the request.
  uint64_t version = 0;
  /// For kFetchFromPeer: the peer's address, "IP:port".
  std::string address;
};

/// The state of configuration distribution at one entry.
struct config_sync {
  config_sync_options options;
  instant started;
  /// The version in force; 0 while there is none.
  uint64_t in_force = 0;
  /// The highest version that the table or a peer has reported.
  uint64_t wanted = 0;
  /// Whether any read of the head row has succeeded.
  bool platform_answered = false;
  /// Whether this entry accepts submissions; never reset once set.
  bool may_serve = false;
  /// Number of fetches since the wanted version was last reached; determines
  /// the source of the next one.
  uint64_t fetches = 0;
  instant next_poll;
  instant next_fetch;
};

/// The status of one entry, for operators.
struct entry_config_status {
  incarnation who;
  std::string address;
  uint64_t version = 0;
  bool reachable = false;
  std::chrono::milliseconds silent_for{0};
};

/// The status of one data centre, for operators.
struct data_centre_config_status {
  uint16_t data_centre = 0;
  /// Whether any of its entries is live.
  bool reachable = false;
  /// Whether every live entry has the accepted version.
  bool up_to_date = false;
  /// The lowest version in force at a live entry; when none is live, the
  /// highest version that was last reported.
  uint64_t version = 0;
  std::vector<entry_config_status> entries;
};

/// The contents of `config status`.
struct config_status {
  /// The highest version known to be accepted.
  uint64_t accepted = 0;
  std::vector<data_centre_config_status> data_centres;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_
