"""Bundles: the unit of configuration that operators review and roll out."""

from worksrail.core.bundle._check import (
    MAX_BUNDLE_BYTES,
    BundleFault,
    BundleFaults,
    parse_bundle,
    validate_document,
)
from worksrail.core.bundle._digest import (
    NoBundle,
    PackedBundle,
    digest_of,
    pack_bundle,
    read_node,
    unpack_bundle,
)
from worksrail.core.bundle._model import (
    Bundle,
    BundleCustomer,
    ClientBlock,
    CustomerQuota,
    Drain,
    DrainKind,
    IdempotentRule,
    Region,
    Service,
    ShiftCap,
    Upstream,
    Zone,
)
from worksrail.core.bundle._topology import CompiledService, Topology

__all__ = (
    'MAX_BUNDLE_BYTES',
    'Bundle',
    'BundleCustomer',
    'BundleFault',
    'BundleFaults',
    'ClientBlock',
    'CompiledService',
    'CustomerQuota',
    'Drain',
    'DrainKind',
    'IdempotentRule',
    'NoBundle',
    'PackedBundle',
    'Region',
    'Service',
    'ShiftCap',
    'Topology',
    'Upstream',
    'Zone',
    'digest_of',
    'pack_bundle',
    'parse_bundle',
    'read_node',
    'unpack_bundle',
    'validate_document',
)
