// The seam between the gateway and the forms in which callers and backend
// servers speak to it.
//
//   const RequestInfo facts = protocol.ReadRequest(inbound);
//   HeaderFields fields = protocol.BackendFields(dispatch);
//   const ResponseInfo answer = protocol.ReadResponse(head);
//
// An implementation only translates; every decision is the gateway's.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/part_cache/part_cache.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/refusal/refusal.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// What a request says of itself.
struct RequestInfo
{
  RequestId m_id;
  std::string m_host;
  std::optional<std::string> m_presentedKey;
  // How long the caller waits for the answer.
  std::optional<std::chrono::nanoseconds> m_callerTimeout;
  ModelId m_model;
  // Prompt tokens and the most that may be generated, if declared.
  std::optional<Tokens> m_promptTokens;
  Tokens m_outputTokens;
  std::vector<PromptPart> m_parts;
  // The last event of the stream that the caller has.
  std::optional<std::string> m_resumeAfter;
  // Those that a backend server gets as they came.
  HeaderFields m_forwardedFields;
};

// What a backend server is told beside the request itself.
struct DispatchInfo
{
  RequestId m_id;
  // As it is published; another server at the address must refuse.
  BackendServerId m_server;
  ClientAccountId m_clientAccount;
  std::chrono::nanoseconds m_timeLeft{};
  // 0 goes first.
  unsigned m_priority = 0;
  bool m_isForEngine = false;
  // An engine from which the server first copies what that one has cached of
  // the prompt.
  std::optional<Endpoint> m_copyFrom;
  std::optional<std::string> m_resumeAfter;
};

// The server's count of its requests.
struct QueueInfo
{
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  unsigned m_slots = 0;
};

// What an answer says beside itself.
struct ResponseInfo
{
  // The server states that it did not run the request.
  bool m_isNotRun = false;
  // Another server has the address.
  bool m_isMisdirected = false;
  // It bears the mark of a backend server's answer.
  bool m_isSealed = false;
  // It is coded so that its bytes are not the server's.
  bool m_isEncoded = false;
  // The request that it answers.
  std::optional<RequestId> m_request;
  std::optional<QueueInfo> m_queue;
  std::optional<std::chrono::nanoseconds> m_coldRemaining;
};

class WireProtocol
{
public:
  virtual ~WireProtocol() = default;

  // The request's id as its caller names it, for the log; empty without one.
  virtual std::string ReadRequestId(const InboundRequest& aRequest) const = 0;

  // Throws RequestError with MalformedRequest.
  virtual RequestInfo ReadRequest(const InboundRequest& aRequest) const = 0;

  // The fields that are added to the passed ones towards a backend server.
  virtual HeaderFields BackendFields(const DispatchInfo& aInfo) const = 0;

  // The same towards a peer, which reads them by ReadRequest.
  virtual HeaderFields PeerFields(
    const std::optional<std::string>& aResumeAfter) const = 0;

  virtual ResponseInfo ReadResponse(const ResponseHead& aHead) const = 0;

  // The answer to a caller whose request failed.
  virtual Refusal FormatRefusal(const RequestError& aError) const = 0;
};

} // namespace rattanweir
