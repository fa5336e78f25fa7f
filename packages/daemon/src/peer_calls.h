// Handler of the calls of other entries.
#ifndef TARRAGONDRIFT_DAEMON_PEER_CALLS_H_
#define TARRAGONDRIFT_DAEMON_PEER_CALLS_H_

#include <functional>
#include <utility>

#include "engine.h"
#include "tarragondrift/link/peer_server.h"

namespace tarragondrift {

/// Forwards the calls of other entries to the engine.
class peer_calls : public peer_handler {
 public:
  using config_source = std::function<config_text()>;

  peer_calls(incarnation self, engine& target, config_source config)
      : self_(self), engine_(target), config_(std::move(config)) {}

  submission_port& Submissions() override { return engine_; }
  void OnHeartbeat(heartbeat beat,
                   std::function<void(beat_reply)> done) override;
  void OnHandOver(hand_over handed,
                  std::function<void(incarnation)> done) override;
  config_text OnFetchConfig(uint64_t version) override;
  void OnLendSlots(loan_request request,
                   std::function<void(loan_grant)> done) override;
  void OnReturnSlots(loan_return message) override;

 private:
  incarnation self_;
  engine& engine_;
  config_source config_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PEER_CALLS_H_
