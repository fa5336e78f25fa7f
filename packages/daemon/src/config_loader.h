// Reads configuration documents for the engine, and provides the text in force
// for other entries.
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

/// Reads configuration documents from the table, accepts those that other
/// entries send, and puts valid ones in force. One thread reads the version of
/// the head row, the other reads the document; both run from construction to
/// destruction. Requests that queue up behind a slow read are served by a
/// single read.
class config_loader {
 public:
  config_loader(table_port& table, std::string environment_name, engine& target,
                metrics& counts);
  config_loader(const config_loader&) = delete;
  config_loader& operator=(const config_loader&) = delete;
  ~config_loader();

  /// Reads the head row and posts its version to the engine.
  void PollHead() { head_requests_.Push({}); }

  /// Reads the document of the head row and posts it to the engine.
  void FetchFromTable() { document_requests_.Push({}); }

  /// Checks a document that was read from the table or sent by another entry,
  /// and puts it in force. An invalid document, or one whose version is not
  /// higher than the version in force, is ignored.
  void Take(const config_text& received);

  /// Returns the text of the configuration in force.
  config_text Config() const;

 private:
  struct read_request {};

  void Loop(mailbox<read_request>& requests, void (config_loader::*read)());
  result<config_head> ReadTableHead();
  void ReadVersion();
  void ReadText();
  void LogTableState(bool works);

  table_port& table_;
  std::string environment_;
  engine& engine_;
  metrics& counts_;
  mutable std::mutex mutex_;
  std::shared_ptr<const config_document> config_;
  config_text text_;
  bool failing_ = false;
  mailbox<read_request> head_requests_;
  mailbox<read_request> document_requests_;
  // Declared last, so that the threads start after the members they use are
  // initialised.
  std::thread head_thread_;
  std::thread document_thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_LOADER_H_
