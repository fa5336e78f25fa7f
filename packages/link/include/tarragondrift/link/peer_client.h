// Asynchronous calls to other entries. Each callback runs exactly once, on a
// thread of the client.
#ifndef TARRAGONDRIFT_LINK_PEER_CLIENT_H_
#define TARRAGONDRIFT_LINK_PEER_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/membership_base.h"
#include "tarragondrift/core/share_base.h"
#include "tarragondrift/gate/job_content.h"
#include "tarragondrift/gate/submission_port.h"
#include "tarragondrift/link/peer_messages.h"

namespace tarragondrift {

/// Handles the outcome of a call. After kPeerUnreachable it is unknown whether
/// the call took effect.
template <class Reply>
using peer_callback = std::function<void(result<Reply>)>;

struct peer_client_options {
  /// Bearer token to send; empty for none.
  std::string token;
  /// Timeout of a call that the receiver does not hold.
  std::chrono::milliseconds timeout{1'000};
  /// Added to the wait of a held call to get its timeout.
  std::chrono::milliseconds held_margin{1'500};
};

/// Client for calls to other entries, by address "IP:port".
class peer_client {
 public:
  /// Creates a gRPC client. Its destructor waits for running calls.
  static std::unique_ptr<peer_client> Make(const peer_client_options& options);

  virtual ~peer_client() = default;

  virtual void Submit(const std::string& address,
                      const std::optional<submission_id>& id,
                      const job_content& content,
                      std::chrono::milliseconds wait,
                      peer_callback<submission_reply> done) = 0;
  virtual void Await(const std::string& address, const submission_id& id,
                     std::chrono::milliseconds wait,
                     peer_callback<submission_reply> done) = 0;
  virtual void Cancel(const std::string& address, const submission_id& id,
                      cancel_callback done) = 0;
  virtual void Beat(const std::string& address, const heartbeat& beat,
                    peer_callback<beat_reply> done) = 0;
  virtual void HandOver(const std::string& address, const hand_over& handed,
                        peer_callback<incarnation> done) = 0;
  virtual void FetchConfig(const std::string& address, uint64_t version,
                           peer_callback<config_text> done) = 0;
  virtual void LendSlots(const std::string& address,
                         const loan_request& request,
                         peer_callback<loan_grant> done) = 0;
  virtual void ReturnSlots(const std::string& address,
                           const loan_return& message) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_PEER_CLIENT_H_
