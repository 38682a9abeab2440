// A small blocking HTTP/1.1 library for stand-ins and test callers.
//
//   HttpListener listener(0);
//   listener.Serve([](const HttpRequest& aRequest, HttpResponder& aResponder) {
//     aResponder.Answer(200, {}, "hello");
//   });
//
//   HttpConnection connection(endpoint, 5s);
//   const HttpResponse answer = connection.Send({ .m_method = "GET", ... });
//
// A thread serves each accepted connection. Nothing here ships.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir::testing {

// A connection that could not be made, broke or took too long.
class HttpError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct HttpField
{
  std::string m_name;
  std::string m_value;
};

using HttpFields = std::vector<HttpField>;

// The first value of a field, without regard to case; empty if there is none.
std::string
FieldOf(const HttpFields& aFields, std::string_view aName);

struct HttpRequest
{
  std::string m_method;
  std::string m_target;
  HttpFields m_headers;
  std::string m_body;
};

struct HttpResponse
{
  // 0 if the connection broke before the head.
  unsigned m_status = 0;
  HttpFields m_headers;
  std::string m_body;
  // Whether the answer came to its marked end.
  bool m_isComplete = false;
};

class FdStream;

// Answers one request. Throws HttpError once the peer is gone.
class HttpResponder
{
public:
  explicit HttpResponder(FdStream& aStream)
    : m_stream(aStream)
  {
  }

  void Respond(unsigned aStatus,
                HttpFields aHeaders,
                const std::string& aBody);

  // A chunked answer: its head, any number of chunks, its end.
  void StartStream(unsigned aStatus, const HttpFields& aHeaders);
  void WriteChunk(std::string_view aChunk);
  void FinishStream();

  // Bytes as they are, for answers that break the protocol.
  void WriteRaw(std::string_view aBytes);

  // Closes the connection after the handler, whatever was written.
  void AbortConnection() { m_isAborted = true; }
  bool IsAborted() const { return m_isAborted; }

  // Waits; true as soon as the peer has closed the connection.
  bool WaitForPeerClose(std::chrono::nanoseconds aDuration);

private:
  FdStream& m_stream;
  bool m_isAborted = false;
};

using HttpHandler = std::function<void(const HttpRequest&, HttpResponder&)>;

// Listens on 127.0.0.1.
class HttpListener
{
public:
  // Port 0 picks a free one.
  explicit HttpListener(std::uint16_t aPort);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  Endpoint Address() const;

  // Serves until the process ends.
  [[noreturn]] void Serve(const HttpHandler& aHandler);

private:
  int m_fd = -1;
};

// A caller's connection, kept alive between requests.
class HttpConnection
{
public:
  // `aTimeout` bounds each wait for bytes. Throws HttpError.
  HttpConnection(const Endpoint& aEndpoint, std::chrono::nanoseconds aTimeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Called with the body so far each time it grew; false closes the
  // connection at once.
  using OnBody = std::function<bool(const std::string&)>;

  // Sends and reads one answer. A connection that breaks is no error here:
  // the answer then is not whole.
  HttpResponse Send(const HttpRequest& aRequest, const OnBody& aOnBody = {});

  // Whether another request can be sent.
  bool IsOpen() const { return m_isOpen; }

private:
  struct State;
  std::unique_ptr<State> m_state;
  bool m_isOpen = true;
};

} // namespace rattanweir::testing
