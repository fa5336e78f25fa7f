// Commands on records that wait to be written together.
#ifndef TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_
#define TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_

#include <chrono>
#include <vector>

#include "tarragondrift/core/record_group_base.h"

namespace tarragondrift {

/// Adds a record that waits.
void AddRecord(record_group& group, start_record record);

/// Notes how many entries share the budget; 0 counts as one.
void SetWriters(record_group& group, uint32_t writers);

/// Gives the time between two writes of one entry.
std::chrono::microseconds WriteInterval(const record_group& group);

/// Takes the records of one write, when this entry's share allows one now. A
/// share that was not used is not saved up, so that the sum of all entries
/// keeps to the budget in each interval.
/// @return nothing when none waits or the share is spent.
std::vector<start_record> TakeWriteBatch(record_group& group, instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_
