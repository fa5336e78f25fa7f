// Commands on token buckets.
#ifndef TARRAGONDRIFT_CORE_QUOTA_CMD_H_
#define TARRAGONDRIFT_CORE_QUOTA_CMD_H_

#include <chrono>

#include "tarragondrift/core/quota_base.h"

namespace tarragondrift {

/// Sets the rate; a bucket that had no limit before starts full.
void SetRate(token_bucket& bucket, double per_s, instant now);

/// Adds the tokens earned since the last refill.
void Refill(token_bucket& bucket, instant now);

/// Whether a token is available.
bool HasToken(const token_bucket& bucket);

/// Takes a token; HasToken must be true.
void TakeToken(token_bucket& bucket);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUOTA_CMD_H_
