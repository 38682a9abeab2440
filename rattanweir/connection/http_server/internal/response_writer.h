// Writes the response to one request to its connection.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/http_server/internal/server_stream.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/refusal/refusal.h"

namespace rattanweir {

struct ResponseWriterOptions
{
  ServerStream& m_stream;
  const CancelSource& m_cancel;
  RequestId m_request;
  // The request's method is HEAD: the response has no body.
  bool m_isHead = false;
  const ResponseStyle& m_style;
  // Returns whether the connection accepts another request. Called when the
  // response head is written.
  std::function<bool()> m_keepsAlive;
};

class ResponseWriter final : public ResponseSink
{
public:
  explicit ResponseWriter(const ResponseWriterOptions& aOptions);

  Task<void> WriteHead(ResponseHead aHead) override;
  Task<void> WriteChunk(std::string aChunk) override;
  Task<void> Finish() override;
  bool HasHead() const override { return m_hasHead; }

  // Writes a complete refusal for a request that failed before its response
  // head was written.
  Task<void> WriteRefusal(Refusal aRefusal);

  // Writes the final event of a failed event stream. Does nothing for other
  // responses, or in the middle of an event: the truncated event would then
  // look complete.
  Task<void> WriteErrorEvent(std::string aEvent);

  // Whether the response was sent completely.
  bool IsComplete() const { return m_isComplete; }
  // Whether a write failed; nothing more is sent to the caller.
  bool IsBroken() const { return m_isBroken; }
  // Whether another request may follow on the connection.
  bool KeepsAlive() const { return m_isComplete && m_keepsAlive; }

private:
  Task<void> Write(Buffers aBuffers);
  void UpdateTail(const std::string& aChunk);

  ResponseWriterOptions m_options;
  bool m_hasHead = false;
  bool m_isComplete = false;
  bool m_isBroken = false;
  bool m_keepsAlive = false;
  bool m_isEventStream = false;
  Framing m_framing = Framing::None;
  // Body bytes still to be written with Framing::Length.
  std::uint64_t m_bytesLeft = 0;
  // The last bytes written, as many as the end marker of an event has.
  std::string m_tail;
};

} // namespace rattanweir
