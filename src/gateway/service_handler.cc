// Hands calls on plain services to the order service.

#include "gateway/service_handler.h"

#include <utility>

#include "gateway/request_headers.h"

namespace azuregw {
namespace {

constexpr size_t kMaxIdempotencyKeyLength = 255;

Result<ServiceCall> MakeCall(const Exchange& exchange, const std::string& path, std::string body) {
  const auto deadline = ParseDeadline(exchange.Header("X-Azuregw-Deadline-Ms"),
                                      exchange.snapshot->preset->limits.default_deadline);
  if (!deadline) {
    return deadline.error();
  }
  const size_t slash = path.find('/');
  ServiceCall call;
  call.workspace = exchange.workspace;
  call.service = path.substr(0, slash);
  call.method = exchange.Message().method();
  call.path = slash == std::string::npos ? "/" : path.substr(slash);
  const std::string query = exchange.Message().relative_uri().query();
  if (!query.empty()) {
    call.path += "?" + query;
  }
  call.content_type = exchange.Header("Content-Type");
  call.body = std::move(body);
  call.idempotency_key = exchange.Header("Idempotency-Key");
  call.request_id = exchange.RequestId();
  call.deadline = exchange.Start() + deadline.value();
  if (call.idempotency_key.size() > kMaxIdempotencyKeyLength) {
    return NotRun(ResultCode::kInvalidField, "Idempotency-Key must have at most 255 characters");
  }
  if (exchange.snapshot->preset->services.count(call.service) == 0) {
    return NotRun(ResultCode::kUnknownService, "unknown service " + call.service);
  }
  return call;
}

void Run(const std::shared_ptr<Exchange>& exchange, ServiceCall call,
         const std::shared_ptr<AdmissionTicket>& ticket) {
  const GatewayDependencies& deps = exchange->Dependencies();
  deps.events->Record("gateway", "admitted", exchange->RequestId(), "", ResultCode::kOk);
  const TimePoint admitted = deps.clock->Now();
  deps.orders->Run(
      exchange->snapshot, std::move(call),
      [exchange, ticket, admitted](const Result<ServiceAnswer>& answer) {
        if (!answer) {
          exchange->Refuse(answer.error());
          return;
        }
        const TimePoint now = exchange->Dependencies().clock->Now();
        ticket->OnFirstResult(std::chrono::duration_cast<Milliseconds>(now - admitted));
        const ServiceReply& reply = answer.value().reply;
        exchange->CountOutcome("ok");
        exchange->Answer(reply.status, reply.content_type, reply.body);
      });
}

}  // namespace

void HandleServiceCall(const std::shared_ptr<Exchange>& exchange, const std::string& path,
                       std::string body) {
  auto call = MakeCall(*exchange, path, std::move(body));
  if (!call) {
    exchange->Refuse(call.error());
    return;
  }
  AdmissionRequest admission;
  admission.workspace = exchange->workspace;
  admission.target = "service/" + call.value().service;
  admission.priority = exchange->snapshot->preset->workspaces.at(exchange->workspace).priority;
  admission.deadline = call.value().deadline;
  const GatewayDependencies& deps = exchange->Dependencies();
  deps.admission->Admit(
      exchange->snapshot, admission, deps.clock->Now(),
      [exchange, call = call.value()](const Result<std::shared_ptr<AdmissionTicket>>& ticket) {
        if (ticket) {
          Run(exchange, call, ticket.value());
        } else {
          exchange->Refuse(ticket.error());
        }
      });
}

}  // namespace azuregw
