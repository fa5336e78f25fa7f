// An entry's calls to the modelled store, with the read that follows a lost
// reply.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_STORE_CLIENT_H_
#define TARRAGONDRIFT_BENCH_SAFETY_STORE_CLIENT_H_

#include <functional>
#include <string>

#include "world.h"

namespace tarragondrift::bench {

/// How a conditional insert ended, and with kConflict which row was there.
struct insert_end {
  store_outcome outcome = store_outcome::kUnknown;
  store_row row;
};

/// Inserts a row if there is none, and tells how that ended, exactly once if
/// the entry lives. An equal row that was there before counts as applied.
void InsertRow(world& all, entry_host& host, const std::string& key,
               const store_row& row, std::function<void(insert_end)> done);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_STORE_CLIENT_H_
