// Blocking TCP sockets and HTTP/1.1 messages for the stand-ins of the review.
//
//   Listener listener(Address{ .m_port = 0 });
//   Connection connection(listener.Accept());
//   const auto request = connection.ReadRequest(deadline);
//   connection.Write(text);
//
// Each connection is used by one thread.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

// A loopback address that only this process and its children listen at, so that
// a port stays free from the choice of an address to its use.
const std::string&
OwnLoopbackIp();

struct Address
{
  std::string m_ip = OwnLoopbackIp();
  std::uint16_t m_port = 0;

  std::string ToString() const { return m_ip + ":" + std::to_string(m_port); }
};

// Owns a file descriptor.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : m_fd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept
    : m_fd(std::exchange(aOther.m_fd, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    Socket closed(std::exchange(m_fd, std::exchange(aOther.m_fd, -1)));
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  int Fd() const { return m_fd; }
  bool IsOpen() const { return m_fd >= 0; }

private:
  int m_fd;
};

class Listener
{
public:
  // Port 0 selects a free port. Throws std::runtime_error.
  explicit Listener(const Address& aAddress);

  const Address& LocalAddress() const { return m_address; }
  // Returns a closed socket after a call of Stop.
  Socket Accept();
  // Ends a concurrent Accept.
  void Stop() const;

private:
  Socket m_socket;
  Address m_address;
};

// Returns an address with a port that nobody listens at, another one each time.
Address
FreeAddress();

// Returns a closed socket if the connection fails.
Socket
Connect(const Address& aAddress);

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns nullptr if there is no such field. Names are compared without case.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

// Returns the text as one chunk of a chunked body.
std::string
ChunkOf(const std::string& aText);

struct Request
{
  std::string m_method;
  std::string m_target;
  Headers m_headers;
  std::string m_body;
};

struct Response
{
  unsigned m_status = 0;
  Headers m_headers;
  std::string m_body;
  // The end that HTTP marks was received.
  bool m_isComplete = false;
};

class Connection
{
public:
  explicit Connection(Socket aSocket)
    : m_socket(std::move(aSocket))
  {
  }

  bool IsOpen() const { return m_socket.IsOpen(); }
  // Returns false if the peer has closed the connection.
  bool Write(std::string_view aText);
  // Returns nullopt if the connection ends or the deadline passes before a
  // whole request has arrived.
  std::optional<Request> ReadRequest(SteadyTime aDeadline);
  // Returns nullopt if not even a response head has arrived. A response that
  // ends early is not complete.
  std::optional<Response> ReadResponse(SteadyTime aDeadline);
  // Closes the connection with a reset.
  void Reset();
  // Returns whether the peer has closed or reset the connection.
  bool IsClosedByPeer() const;
  int Fd() const { return m_socket.Fd(); }

private:
  // Returns false at the end of the connection or at the deadline.
  bool ReadMore(SteadyTime aDeadline);
  std::optional<std::string> ReadLine(SteadyTime aDeadline);
  // Appends exactly this many bytes; false if they do not arrive.
  bool ReadBytes(std::size_t aCount, std::string& aTo, SteadyTime aDeadline);
  bool ReadHeaders(Headers& aHeaders, SteadyTime aDeadline);
  bool ReadBody(const Headers& aHeaders,
                std::string& aBody,
                SteadyTime aDeadline);
  bool ReadChunks(std::string& aBody, SteadyTime aDeadline);

  Socket m_socket;
  std::string m_buffer;
};

} // namespace review
