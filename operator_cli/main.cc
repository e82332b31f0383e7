#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "cicadaloft/operator_cli/log_search.h"
#include "cicadaloft/platform/configuration_codec.h"

namespace cicadaloft {
namespace {

constexpr char kVersion[] = "cicadaloft 0.2.0";
constexpr char kUsage[] =
    R"(Checks configurations and explains requests.

Usage:
  cicadaloft check <file>
  cicadaloft explain <request> [<log>...]
  cicadaloft (-h | --help)
  cicadaloft --version

Commands:
  check    Reads a configuration as a host would, and tells what is wrong.
  explain  Shows what the logs of hosts say of a request, oldest line first, and
           the orders for its model meanwhile. Without logs, standard input.

Exit codes: 0 done, 1 nothing found or not valid, 2 wrong usage or no file.
)";

constexpr int kExitNotFound = 1;
constexpr int kExitUsage = 2;

int Check(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    return kExitUsage;
  }
  const std::string bytes((std::istreambuf_iterator<char>(file)),
                          std::istreambuf_iterator<char>());
  const auto configuration = platform::DecodeConfiguration(bytes);
  if (!IsOk(configuration)) {
    std::cerr << path << ": " << ErrorOf(configuration).message << "\n";
    return kExitNotFound;
  }
  const Configuration& value = ValueOf(configuration);
  std::cout << path << ": version " << value.version.value() << ", "
            << value.routes.size() << " routes, " << value.services.size()
            << " services, " << value.customers.size() << " customers\n";
  return 0;
}

void Print(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    std::cout << line.unix_ms << "  " << line.event << "  " << line.fields
              << "\n";
  }
}

int ExplainRequest(const std::string& request,
                   const std::vector<std::string>& paths) {
  std::stringstream logs;
  if (paths.empty()) {
    logs << std::cin.rdbuf();
  }
  for (const std::string& path : paths) {
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
      std::cerr << path << ": can't be read\n";
      return kExitUsage;
    }
    logs << file.rdbuf() << "\n";
  }
  const Explanation found = Explain(logs, request);
  if (found.unreadable > 0) {
    std::cerr << found.unreadable << " lines are no records\n";
  }
  if (found.lines.empty()) {
    std::cerr << "no line tells of request " << request << "\n";
    return kExitNotFound;
  }
  Print(found.lines);
  if (!found.context.empty()) {
    std::cout << "orders for its model meanwhile:\n";
    Print(found.context);
  }
  return 0;
}

int Main(const std::vector<std::string>& arguments) {
  auto values = docopt::docopt(kUsage, arguments, true, kVersion);
  if (values["check"].asBool()) {
    return Check(values["<file>"].asString());
  }
  return ExplainRequest(values["<request>"].asString(),
                        values["<log>"].asStringList());
}

}  // namespace
}  // namespace cicadaloft

int main(int argc, char** argv) {
  return cicadaloft::Main({argv + 1, argv + argc});
}
