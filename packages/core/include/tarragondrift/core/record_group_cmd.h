// Commands on the group commit of start records.
#ifndef TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_
#define TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_

#include <chrono>
#include <vector>

#include "tarragondrift/core/record_group_base.h"

namespace tarragondrift {

void AddRecord(record_group& group, start_record record);

/// Sets the number of entries that share the budget; 0 counts as 1.
void SetWriters(record_group& group, uint32_t writers);

/// Returns the minimum time between two writes of one entry.
std::chrono::microseconds WriteInterval(const record_group& group);

/// Removes and returns the records of the next write, if this entry's share
/// allows a write now. An unused share is not saved up, so that all entries
/// together keep to the budget in each interval.
/// @return nothing when no record waits or the share is spent.
std::vector<start_record> TakeWriteBatch(record_group& group, instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RECORD_GROUP_CMD_H_
