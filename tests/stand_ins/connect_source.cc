// A library for LD_PRELOAD that gives the connections of a program to loopback
// addresses a source address of their own, so that a server can tell the
// clients of one machine apart.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdlib>
#include <tuple>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

constexpr char kVariable[] = "CICADALOFT_TEST_SOURCE";
constexpr std::uint32_t kLoopbackNetwork = 127;
constexpr unsigned kNetworkShift = 24;

// Binds to the address of the variable. The port is chosen by connect(), so
// that all ports are available for each destination.
void BindToSource(int descriptor) {
  const char* text = std::getenv(kVariable);
  sockaddr_in source{};
  source.sin_family = AF_INET;
  if (text == nullptr || inet_pton(AF_INET, text, &source.sin_addr) != 1) {
    return;
  }
  const int yes = 1;
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes,
             sizeof(yes));
  // A socket that is bound already keeps its address.
  std::ignore = bind(descriptor, reinterpret_cast<const sockaddr*>(&source),
                     sizeof(source));
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name of the C library.
extern "C" int connect(int descriptor,
                       const sockaddr* address,
                       socklen_t size) {
  static const auto kNext =
      reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  if (address->sa_family == AF_INET) {
    const auto* peer = reinterpret_cast<const sockaddr_in*>(address);
    if (ntohl(peer->sin_addr.s_addr) >> kNetworkShift == kLoopbackNetwork) {
      BindToSource(descriptor);
    }
  }
  return kNext(descriptor, address, size);
}
