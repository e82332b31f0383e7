#ifndef CICADALOFT_ADMISSION_LARGE_SIZE_THRESHOLD_H_
#define CICADALOFT_ADMISSION_LARGE_SIZE_THRESHOLD_H_

#include <cstdint>

namespace cicadaloft {

/// Tells the largest tenth of the sizes of one kind of request, without keeping
/// the sizes.
class LargeSizeThreshold {
 public:
  /// Takes note of a size.
  /// @return whether it is among the largest tenth; false while few are known
  /// and where sizes hardly differ.
  bool Add(double size);

 private:
  double threshold = 0;
  std::uint64_t count = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_LARGE_SIZE_THRESHOLD_H_
