"""Cluster configuration: one base document and an overlay for each site."""

from pollenkeel_kernel.config.check import check_document
from pollenkeel_kernel.config.document import (
    decode_document,
    effective_config,
    encode_document,
)
from pollenkeel_kernel.config.merge import merge
from pollenkeel_kernel.config.model import ClusterConfig, ConfigDocument

__all__ = [
    "ClusterConfig",
    "ConfigDocument",
    "check_document",
    "decode_document",
    "effective_config",
    "encode_document",
    "merge",
]
