// Conversion between the messages of peer.proto and the core types.
#ifndef TARRAGONDRIFT_LINK_SRC_PEER_CODEC_H_
#define TARRAGONDRIFT_LINK_SRC_PEER_CODEC_H_

#include <chrono>
#include <optional>

#include "peer.pb.h"
#include "tarragondrift/core/membership_base.h"
#include "tarragondrift/core/share_base.h"
#include "tarragondrift/gate/submission_port.h"
#include "tarragondrift/link/peer_messages.h"

namespace tarragondrift {

void Encode(const submission_id& from, wire::SubmissionId& to);
submission_id Decode(const wire::SubmissionId& from);

/// Encodes a job with its submission id, which may be absent.
void Encode(const std::optional<submission_id>& id, const job_content& from,
            std::chrono::milliseconds wait, wire::SubmitRequest& to);
job_content Decode(const wire::SubmitRequest& from);

void Encode(const job_answer& from, wire::Answer& to);
job_answer_ptr Decode(const wire::Answer& from);

void Encode(const submission_reply& from, wire::SubmissionReply& to);
submission_reply Decode(const wire::SubmissionReply& from);

void Encode(const heartbeat& from, wire::Heartbeat& to);
heartbeat Decode(const wire::Heartbeat& from);

void Encode(const hand_over& from, wire::HandOverRequest& to);
hand_over Decode(const wire::HandOverRequest& from);

void Encode(const config_text& from, wire::ConfigReply& to);
config_text Decode(const wire::ConfigReply& from);

void Encode(const loan_request& from, wire::LoanRequest& to);
loan_request Decode(const wire::LoanRequest& from);

void Encode(const loan_grant& from, wire::LoanGrant& to);
loan_grant Decode(const wire::LoanGrant& from);

void Encode(const loan_return& from, wire::LoanReturn& to);
loan_return Decode(const wire::LoanReturn& from);

/// Returns the result code with this number; kInternal for an unknown number.
result_code DecodeCode(uint32_t number);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_SRC_PEER_CODEC_H_
