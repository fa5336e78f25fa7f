// What recorded contracts cost: writes a second, and time before the start.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_RECORDED_H_
#define TARRAGONDRIFT_BENCH_SAFETY_RECORDED_H_

namespace tarragondrift::bench {

/// Prints writes and delays of group commit against a modelled store.
/// @return whether the writes keep to the budget.
bool PrintRecorded();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_RECORDED_H_
