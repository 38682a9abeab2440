// HTTP over one connection to a server. Only client_stream.cc instantiates
// Beast in this package.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "rattanweir/request/exchange/exchange.h"

#include <boost/system/error_code.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rattanweir {

using ErrorCode = boost::system::error_code;

// Result of a write. Bytes count as sent once the kernel has accepted them.
struct WriteOutcome
{
  ErrorCode m_error;
  std::size_t m_bytesSent = 0;
};

// A response head, or the reason why none was read.
struct HeadOutcome
{
  ErrorCode m_error;
  // Why the received bytes are not a valid response, or why its end can't be
  // determined; empty otherwise.
  std::string m_fault;
  ResponseHead m_head;
};

// A piece of the body. Empty only with an error or at the end of the body.
struct ChunkOutcome
{
  ErrorCode m_error;
  std::string m_chunk;
};

class ClientStream
{
public:
  explicit ClientStream(const HttpUpstreamOptions& aOptions);
  ~ClientStream();
  ClientStream(const ClientStream&) = delete;
  ClientStream& operator=(const ClientStream&) = delete;

  // Socket whose expiry or interrupt ends the waits of the calls below.
  TimedSocket& Socket();

  Task<ErrorCode> Connect(Endpoint aEndpoint);
  // Stops early, without an error, when the server responds before it has read
  // the entire request; the connection is not reusable then.
  Task<WriteOutcome> WriteRequest(Endpoint aEndpoint,
                                  const OutboundRequest& aRequest);
  Task<HeadOutcome> ReadHead();
  Task<ChunkOutcome> ReadChunk();

  // Whether the response was read completely. The end of the connection
  // completes a response only if no write has failed: a reset is reported once,
  // to the write or to a read.
  bool IsComplete() const;

  // Whether the connection can carry another request: the response was
  // complete, no bytes followed it, and the server keeps the connection open.
  bool IsReusable() const;

  // Frees the memory of the response before the connection becomes idle.
  void Reset();

private:
  Task<bool> WaitUntilWritable();
  // Returns why the head that was read is unusable, or an empty string.
  std::string FaultOfHead() const;

  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
