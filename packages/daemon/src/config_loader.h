// Reads configuration documents for the engine, and gives the text in force to
// other entries.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_LOADER_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_LOADER_H_

#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "engine.h"
#include "mailbox.h"
#include "metrics.h"
#include "tarragondrift/config/config_store.h"
#include "tarragondrift/core/config_sync_base.h"
#include "tarragondrift/link/peer_messages.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Reads the table from its construction to its destruction. Requests that
/// pile up behind a slow read are served by one read.
class config_loader {
 public:
  config_loader(table_port& table, std::string environment_name, engine& target,
                metrics& counts);
  config_loader(const config_loader&) = delete;
  config_loader& operator=(const config_loader&) = delete;
  ~config_loader();

  /// Reads the head row; its version goes to the engine.
  void PollHead() { heads_.Push({}); }

  /// Reads the document of the head row; it goes to the engine.
  void FetchFromTable() { documents_.Push({}); }

  /// Takes a document that another entry sent; one that is broken or not
  /// higher than the one in force changes nothing.
  void Take(const config_text& received);

  /// Gives the text of the configuration in force.
  config_text Config() const;

 private:
  struct order {};

  void Loop(mailbox<order>& orders, void (config_loader::*work)());
  result<config_head> ReadTableHead();
  void ReadVersion();
  void ReadText();
  void Note(bool works);

  table_port& table_;
  std::string environment_;
  engine& engine_;
  metrics& counts_;
  mutable std::mutex mutex_;
  std::shared_ptr<const config_document> config_;
  config_text text_;
  bool failing_ = false;
  mailbox<order> heads_;
  mailbox<order> documents_;
  // Last, so that the threads begin after what they use.
  std::thread head_thread_;
  std::thread document_thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_LOADER_H_
