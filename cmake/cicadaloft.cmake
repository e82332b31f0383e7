set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

option(CICADALOFT_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)
# -Wrestrict: g++ 12 reports false overlaps in string concatenations (GCC bug
# 105329).
add_compile_options(-Wall -Wextra -Werror -Wno-missing-field-initializers
  -Wno-restrict)
if(CICADALOFT_SANITIZE)
  # g++ 12 reports a false uninitialized use in Boost.Beast with the sanitizers.
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
    -Wno-maybe-uninitialized)
  add_link_options(-fsanitize=address,undefined)
endif()

option(CICADALOFT_TESTS "Build the tests" ON)

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
if(CICADALOFT_TESTS)
  find_package(Boost 1.81 REQUIRED COMPONENTS unit_test_framework)
  find_package(rapidcheck REQUIRED)
endif()
find_package(OpenSSL REQUIRED)

# Adds a slice: a static library with public headers under include/ and private
# headers next to the sources.
#   cicadaloft_slice(<name> SOURCES ... [DEPENDS ...])
function(cicadaloft_slice name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(cicadaloft_${name} STATIC ${ARG_SOURCES})
  target_include_directories(cicadaloft_${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(cicadaloft_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# Adds a Boost.Test program and registers it with ctest.
#   cicadaloft_test(<name> SOURCES ... [DEPENDS ...])
function(cicadaloft_test name)
  if(NOT CICADALOFT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 60)
endfunction()
