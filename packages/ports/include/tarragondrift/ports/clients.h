// Clients of the platform's services over their published HTTP protocols.
#ifndef TARRAGONDRIFT_PORTS_CLIENTS_H_
#define TARRAGONDRIFT_PORTS_CLIENTS_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "tarragondrift/ports/instances.h"
#include "tarragondrift/ports/objects.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// Options of the client of a table service that speaks DynamoDB's JSON 1.0
/// interface.
struct table_client_options {
  /// Such as "http://10.0.0.1:8000".
  std::string base_url;
  std::string table = "tarragondrift";
  /// Value of the partition key that all rows share.
  std::string partition = "tarragondrift";
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{2'000};
};

/// Options of the client of an object store that speaks S3's path-style REST
/// interface.
struct object_client_options {
  std::string base_url;
  std::string bucket = "tarragondrift";
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{5'000};
  size_t most_object_bytes = 16U << 20U;
};

/// Options of the client of an instance list that speaks Consul's health
/// interface.
struct instance_client_options {
  std::string base_url;
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds timeout{2'000};
};

/// Makes a client of the table service; safe for several threads.
std::unique_ptr<table_port> MakeTableClient(
    const table_client_options& options);

/// Makes a client of the object store; safe for several threads.
std::unique_ptr<object_port> MakeObjectClient(
    const object_client_options& options);

/// Makes a client of the instance list; safe for several threads.
std::unique_ptr<instance_port> MakeInstanceClient(
    const instance_client_options& options);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_CLIENTS_H_
