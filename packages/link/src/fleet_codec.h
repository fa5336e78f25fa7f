// Fleet messages as protobuf carries them.
#ifndef TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_
#define TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_

#include "fleet.pb.h"
#include "tarragondrift/fleet/peer_base.h"

namespace tarragondrift {

void Encode(const fleet::envelope& from, wire::FleetEnvelope& to);

/// Reads an envelope; messages of a kind not known here are left out.
fleet::envelope Decode(const wire::FleetEnvelope& from);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_FLEET_CODEC_H_
