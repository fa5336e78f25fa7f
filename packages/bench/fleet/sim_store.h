// The rows of the platform's store that entries use for claims.
#ifndef TARRAGONDRIFT_BENCH_FLEET_SIM_STORE_H_
#define TARRAGONDRIFT_BENCH_FLEET_SIM_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "tarragondrift/fleet/claim_base.h"
#include "tarragondrift/fleet/witness_base.h"

namespace tarragondrift::bench {

struct sim_store {
  fleet::witness_list witnesses;
  uint64_t last_version = 0;
  /// Rows of claims, by job.
  std::map<std::string, fleet::job_attempt> claims;
};

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_FLEET_SIM_STORE_H_
