// A test server that counts the requests read and closes a persistent
// connection without a response after a given number of responses.
#ifndef TARRAGONDRIFT_GATE_TEST_CLOSING_SERVER_H_
#define TARRAGONDRIFT_GATE_TEST_CLOSING_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

namespace tarragondrift {

/// Serves connections one at a time.
class closing_server {
 public:
  /// @param answered number of requests that are answered.
  explicit closing_server(int answered) : answered_(answered) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
    if (bind(listener_, generic, sizeof(address)) != 0) {
      throw std::runtime_error("cannot bind");
    }
    socklen_t length = sizeof(address);
    getsockname(listener_, generic, &length);
    port_ = ntohs(address.sin_port);
    listen(listener_, 8);
    thread_ = std::thread([this] { Loop(); });
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;
  ~closing_server() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  int Requests() const { return requests_.load(); }
  int Connections() const { return connections_.load(); }

 private:
  void Loop() {
    for (int fd = accept(listener_, nullptr, nullptr); fd >= 0;
         fd = accept(listener_, nullptr, nullptr)) {
      connections_.fetch_add(1);
      while (ReadRequest(fd) && requests_.load() <= answered_) {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      close(fd);
    }
  }

  /// Reads to the end of the body, which tests mark with '#'.
  bool ReadRequest(int fd) {
    char character = 0;
    while (recv(fd, &character, 1, 0) == 1) {
      if (character == '#') {
        requests_.fetch_add(1);
        return true;
      }
    }
    return false;
  }

  int answered_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_TEST_CLOSING_SERVER_H_
