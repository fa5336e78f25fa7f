// The platform's table in virtual time, with writes whose answers get lost or
// that take effect late, and reads of the head row that lag.
#ifndef TARRAGONDRIFT_BENCH_CONFIG_SIM_TABLE_H_
#define TARRAGONDRIFT_BENCH_CONFIG_SIM_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "event_loop.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift::bench {

/// How often writes go wrong, each a part of 1.
struct table_fault_rates {
  double unavailable = 0;
  double reply_lost = 0;
  double delayed = 0;
};

/// The table.
class sim_table final : public table_port {
 public:
  sim_table(event_loop& loop, std::mt19937_64& random)
      : loop_(loop), random_(random) {}

  /// Nothing is answered; a write may take effect all the same.
  bool down = false;
  table_fault_rates rates;

  result<table_row> Get(const std::string& key) override;
  result<std::vector<table_row>> List(const std::string& prefix) override;
  result<void> Write(const std::vector<table_write>& writes) override;

  /// Gives the version of a head row as it was `lag` ago.
  uint64_t HeadVersionAt(instant when) const;

  /// When the head row of production came to have a version.
  std::optional<instant> AcceptedAt(uint64_t version) const;

  uint64_t reads = 0;
  uint64_t writes = 0;

 private:
  result<void> Apply(const std::vector<table_write>& changes);
  bool Chance(double part);

  event_loop& loop_;
  std::mt19937_64& random_;
  std::map<std::string, table_row> rows_;
  uint64_t last_version_ = 0;
  /// When each version of production was accepted; its place is version - 1.
  std::vector<instant> accepted_;
};

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_CONFIG_SIM_TABLE_H_
