#ifndef CICADALOFT_CORE_MODEL_PATH_H_
#define CICADALOFT_CORE_MODEL_PATH_H_

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// What has to be loaded for a request: a base model, or one of its adapters.
struct ModelPath {
  ModelId model;
  AdapterId adapter;  ///< Empty: the base model alone.

  bool IsAdapter() const { return !this->adapter.empty(); }
  /// @return the path of the base model.
  ModelPath Base() const { return ModelPath{.model = this->model}; }
  /// @return "MODEL" or "MODEL/ADAPTER"; ParseModelPath() reads it.
  std::string ToString() const {
    return this->IsAdapter() ? this->model.value() + "/" + this->adapter.value()
                             : this->model.value();
  }

  friend auto operator<=>(const ModelPath&, const ModelPath&) = default;
  friend bool operator==(const ModelPath&, const ModelPath&) = default;
};

/// @param text as ToString() writes it; all after the first slash is the
/// adapter's name.
inline ModelPath ParseModelPath(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return ModelPath{.model = ModelId(std::string(text))};
  }
  return ModelPath{.model = ModelId(std::string(text.substr(0, slash))),
                   .adapter = AdapterId(std::string(text.substr(slash + 1)))};
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_MODEL_PATH_H_
