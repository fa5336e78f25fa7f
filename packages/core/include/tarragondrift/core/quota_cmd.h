// Commands on token buckets.
#ifndef TARRAGONDRIFT_CORE_QUOTA_CMD_H_
#define TARRAGONDRIFT_CORE_QUOTA_CMD_H_

#include <chrono>

#include "tarragondrift/core/quota_base.h"

namespace tarragondrift {

/// Sets the rate; a bucket that had none begins full.
void SetRate(token_bucket& bucket, double per_s, instant now);

/// Adds what has come in since the last refill.
void Refill(token_bucket& bucket, instant now);

/// Tells whether a token is there.
bool HasToken(const token_bucket& bucket);

/// Takes a token that is there.
void TakeToken(token_bucket& bucket);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUOTA_CMD_H_
