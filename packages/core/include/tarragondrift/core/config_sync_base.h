// How an entry comes by the configuration in force, as plain data.
#ifndef TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_
#define TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Options of the distribution of configuration.
struct config_sync_options {
  /// Between two reads of the head row by the poller of a data centre. Reads
  /// may overlap when the table is slow.
  std::chrono::milliseconds poll_interval{1'000};
  /// The same for the other entries: it counts while the poller is cut off
  /// from the table and they are not.
  std::chrono::milliseconds backup_poll_interval{5'000};
  /// A fetch that has not brought the document by then is sent to the next
  /// source as well.
  std::chrono::milliseconds fetch_interval{1'000};
  /// A fresh entry listens to its peers at least so long before it serves.
  std::chrono::milliseconds settle_least{2'500};
  /// A fresh entry waits for the table and for peers that do not answer at
  /// most so long.
  std::chrono::milliseconds settle_most{6'000};
};

/// What the distribution asks of the outside.
enum class config_request_kind : uint8_t {
  /// Read the head row of the table; its answer goes to OnConfigPollResult.
  kPollHead,
  /// Read a document from the table; its answer goes to OnConfigFetchResult.
  kFetchFromPlatform,
  /// Ask a peer for its document; its answer goes to OnConfigFetchResult.
  kFetchFromPeer,
};

/// One request to carry out; requests may overlap and may fail.
struct config_request {
  config_request_kind kind = config_request_kind::kPollHead;
  /// The version that is wanted at least.
  uint64_t version = 0;
  /// With kFetchFromPeer: where to ask, "IP:port".
  std::string address;
};

/// All that one entry knows of the configuration in force.
struct config_sync {
  config_sync_options options;
  instant started;
  /// 0 while there is none.
  uint64_t in_force = 0;
  /// The highest version that the table or a peer was heard to have.
  uint64_t wanted = 0;
  bool platform_answered = false;
  /// Set once and for ever: from then on this entry takes submissions.
  bool may_serve = false;
  /// Fetches since the wanted version was last reached; choose the source.
  uint64_t fetches = 0;
  instant next_poll;
  instant next_fetch;
};

/// One entry in the operators' view.
struct entry_config_status {
  incarnation who;
  std::string address;
  uint64_t version = 0;
  bool reachable = false;
  std::chrono::milliseconds silent_for{0};
};

/// One data centre in the operators' view.
struct data_centre_config_status {
  uint16_t data_centre = 0;
  /// Whether any of its entries is heard.
  bool reachable = false;
  /// Whether every entry that is heard has the accepted version.
  bool up_to_date = false;
  /// The lowest version that is in force at an entry that is heard; else the
  /// last one heard.
  uint64_t version = 0;
  std::vector<entry_config_status> entries;
};

/// What `config status` shows.
struct config_status {
  /// The highest version known to be accepted.
  uint64_t accepted = 0;
  std::vector<data_centre_config_status> data_centres;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_CONFIG_SYNC_BASE_H_
