// Translates between the gateway and the formats that callers and backend
// servers use. Used on the users' platform (settings with `fleet`).
//
//   const RequestInfo info = protocol.ReadRequest(inbound);
//   HeaderFields fields = protocol.BackendFields(dispatch);
//   const ResponseInfo response = protocol.ReadResponse(head);
//
// An implementation only translates; the gateway makes all decisions.

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

// The attributes of a request, parsed from its target, header and body.
struct RequestInfo
{
  RequestId m_id;
  std::string m_host;
  std::optional<std::string> m_presentedKey;
  // How long the caller waits for the response; nullopt if not declared.
  std::optional<std::chrono::nanoseconds> m_callerTimeout;
  ModelId m_model;
  // Prompt tokens; nullopt if not declared.
  std::optional<Tokens> m_promptTokens;
  // The maximum number of generated tokens.
  Tokens m_outputTokens;
  std::vector<PromptPart> m_parts;
  // The id of the last event that the caller received, if it resumes a stream.
  std::optional<std::string> m_resumeAfter;
  // The id of the request that brought the first event of that stream; nullopt
  // if not stated or not usable.
  std::optional<RequestId> m_resumes;
  // Header fields that are forwarded to a backend server unmodified.
  HeaderFields m_forwardedFields;
};

// What a backend server is sent in addition to the request itself.
struct DispatchInfo
{
  RequestId m_id;
  // The id under which the server is published. Another server that now has the
  // same address must refuse the request.
  BackendServerId m_server;
  ClientAccountId m_clientAccount;
  std::chrono::nanoseconds m_timeLeft{};
  // 0 is the highest priority.
  unsigned m_priority = 0;
  bool m_isForEngine = false;
  // An engine from which the server first copies cached prompt tokens.
  std::optional<Endpoint> m_copyFrom;
  std::optional<std::string> m_resumeAfter;
};

// A server's own count of its requests.
struct QueueInfo
{
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  // Requests that it processes concurrently; 0 if not stated.
  unsigned m_slots = 0;
};

// The attributes of a response, parsed from its head.
struct ResponseInfo
{
  // The server states that it did not run the request.
  bool m_isNotRun = false;
  // The request reached a server other than the intended one, which now has its
  // address (HTTP status 421).
  bool m_isMisdirected = false;
  // The response carries the header field that marks a backend server's
  // response.
  bool m_isSealed = false;
  // The body has a content coding, so its bytes are not those that the server
  // produced.
  bool m_isEncoded = false;
  // The id of the request to which the response belongs, if stated.
  std::optional<RequestId> m_request;
  std::optional<QueueInfo> m_queue;
  // How long work takes on the server's machine at the moment, if stated.
  std::optional<Pace> m_pace;
  // A figure of the stated load cannot be used.
  bool m_hasInvalidLoad = false;
  // How long the server stays cold, if stated.
  std::optional<std::chrono::nanoseconds> m_coldRemaining;
  // The most requests a second that the server takes from all instances
  // together, if stated.
  std::optional<RequestRate> m_requestLimit;
  // The response states a limit that cannot be read.
  bool m_hasInvalidRequestLimit = false;
  // The server fails if it has to refuse more requests a second than this, if
  // stated.
  std::optional<RequestRate> m_maxRefusals;
  // The server states that it is draining: it finishes what it runs and expects
  // no further requests.
  bool m_isDraining = false;
  // How long the server wants no requests from this instance, if stated by a
  // response that turns the request away.
  std::optional<std::chrono::nanoseconds> m_pause;
};

class WireProtocol
{
public:
  virtual ~WireProtocol() = default;

  // Returns the request id that the caller set, for the log; empty if none.
  virtual std::string ReadRequestId(const InboundRequest& aRequest) const = 0;

  // Throws RequestError with MalformedRequest if an attribute is malformed.
  virtual RequestInfo ReadRequest(const InboundRequest& aRequest) const = 0;

  // Returns the header fields that are added to the forwarded ones when a
  // request is sent to a backend server.
  virtual HeaderFields BackendFields(const DispatchInfo& aInfo) const = 0;

  // Returns the header fields that are added when a request is forwarded to a
  // peer, which parses them with ReadRequest.
  virtual HeaderFields PeerFields(
    const std::optional<std::string>& aResumeAfter) const = 0;

  virtual ResponseInfo ReadResponse(const ResponseHead& aHead) const = 0;

  // Returns the response to a caller whose request failed.
  virtual Refusal FormatRefusal(const RequestError& aError) const = 0;
};

} // namespace rattanweir
