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
    R"(Checks configurations and explains the decisions on requests.

Usage:
  cicadaloft check <file>
  cicadaloft explain <request> [<log>...]
  cicadaloft (-h | --help)
  cicadaloft --version

Commands:
  check    Validates a configuration as a host does and prints what is wrong.
  explain  Prints the log lines of a request, oldest first, and the placement
           events of its model while the request was open. Without <log>, reads
           standard input.

Exit codes: 0 done, 1 nothing found or not valid, 2 wrong usage or no file.
)";

constexpr int kExitNotFoundOrInvalid = 1;
constexpr int kExitUnreadableFile = 2;

int Check(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": can't read the file\n";
    return kExitUnreadableFile;
  }
  const std::string bytes((std::istreambuf_iterator<char>(file)),
                          std::istreambuf_iterator<char>());
  const auto configuration = platform::DecodeConfiguration(bytes);
  if (!IsOk(configuration)) {
    std::cerr << path << ": " << ErrorOf(configuration).message << "\n";
    return kExitNotFoundOrInvalid;
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
      std::cerr << path << ": can't read the file\n";
      return kExitUnreadableFile;
    }
    logs << file.rdbuf() << "\n";
  }
  const Explanation explanation = Explain(logs, request);
  if (explanation.unreadable > 0) {
    std::cerr << explanation.unreadable
              << " lines without a JSON record skipped\n";
  }
  if (explanation.lines.empty()) {
    std::cerr << "no log line for request " << request << "\n";
    return kExitNotFoundOrInvalid;
  }
  Print(explanation.lines);
  if (!explanation.context.empty()) {
    std::cout << "placement events of its model while the request was open:\n";
    Print(explanation.context);
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
