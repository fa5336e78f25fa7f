// Settings that all channels between entries share.
#ifndef TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_
#define TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_

#include <grpcpp/support/channel_arguments.h>

#include <chrono>

namespace tarragondrift {

/// Shortest pause before a lost connection is tried again.
inline constexpr std::chrono::milliseconds kShortestReconnect{100};

/// Makes the arguments of a channel to another entry: calls are never sent
/// twice by the library, and no proxy is used.
/// @param longest_reconnect longest pause before a lost connection is tried
///   again.
grpc::ChannelArguments MakeChannelArguments(
    std::chrono::milliseconds longest_reconnect);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_CHANNEL_ARGUMENTS_H_
