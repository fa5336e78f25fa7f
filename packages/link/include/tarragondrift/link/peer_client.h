// Calls to other entries. All return at once; the outcome comes by a callback
// on a thread of the client, exactly once.
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

/// Takes the outcome of a call; kPeerUnreachable tells nothing of whether the
/// call had its effect.
template <class Reply>
using peer_callback = std::function<void(result<Reply>)>;

/// Options of a client.
struct peer_client_options {
  /// Sent as a bearer token; empty for none.
  std::string token;
  /// Limit of a call that is not held.
  std::chrono::milliseconds timeout{1'000};
  /// Limit of a held call beyond its wait.
  std::chrono::milliseconds held_margin{1'500};
};

/// The other entries as callees, by address "IP:port".
class peer_client {
 public:
  /// Makes the client over gRPC. Its destruction waits for running calls.
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
