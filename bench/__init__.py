"""Load, measurement and small stand-ins for finchway; nothing here is part of the product."""
