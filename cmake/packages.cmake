# Shared settings of the workspace's packages.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)

# Declares the library of package NAME from all of its src/*.cc files, with
# public headers under include/, and exports it as tarragondrift::NAME.
function(tarragondrift_library name)
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(tarragondrift_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(tarragondrift_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(tarragondrift::${name} ALIAS tarragondrift_${name})
  target_include_directories(
    tarragondrift_${name}
    ${scope} $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
             $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_compile_features(tarragondrift_${name} ${scope} cxx_std_20)
  if(sources)
    target_compile_options(tarragondrift_${name} PRIVATE -Wall -Wextra -Wno-missing-field-initializers -Werror)
  endif()
  set_target_properties(tarragondrift_${name} PROPERTIES EXPORT_NAME ${name})
  install(
    TARGETS tarragondrift_${name}
    EXPORT tarragondrift-${name}-targets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  install(
    EXPORT tarragondrift-${name}-targets
    NAMESPACE tarragondrift::
    FILE tarragondrift-${name}-config.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/tarragondrift-${name})
endfunction()

# Builds the package's test/*_test.cc files into one Catch2 program and
# registers it with CTest as NAME.
function(tarragondrift_tests name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS test/*_test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_tests ${sources}
                               ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)
  target_link_libraries(${name}_tests PRIVATE tarragondrift::${name} ${ARGN})
  target_compile_options(${name}_tests PRIVATE -Wall -Wextra -Wno-missing-field-initializers -Werror)
  add_test(NAME ${name} COMMAND ${name}_tests
           WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()
