// Keeps the positions of upstreams, contracts and teams the same from one
// document to the next, since running jobs refer to them by position.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_

#include "tarragondrift/core/config_base.h"

namespace tarragondrift {

/// Reorders a document so that every name that `before` has stays where it
/// was; new names follow. A name that is gone leaves its element in place
/// without a name, so that no lookup finds it.
config_document KeepPositions(const config_document& before,
                              config_document next);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_
