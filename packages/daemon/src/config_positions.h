// Keeps the positions of upstreams, contracts and teams stable across
// configuration documents, since running jobs refer to them by position.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_

#include "tarragondrift/core/config_base.h"

namespace tarragondrift {

/// Reorders a document so that each name of `before` keeps its position; new
/// names are appended. The element of a removed name stays in place with an
/// empty name, so that no lookup finds it.
config_document KeepPositions(const config_document& before,
                              config_document next);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_POSITIONS_H_
