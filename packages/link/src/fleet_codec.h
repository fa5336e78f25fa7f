// Conversion between fleet messages and their protobuf form.
#ifndef TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_
#define TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_

#include "fleet.pb.h"
#include "tarragondrift/fleet/peer_base.h"

namespace tarragondrift {

void Encode(const fleet::envelope& from, wire::FleetEnvelope& to);

/// Decodes an envelope; messages of an unknown kind are skipped.
fleet::envelope Decode(const wire::FleetEnvelope& from);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_
