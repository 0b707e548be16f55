//! An element of the file, with the defaults that the schema gives its attributes.

use uppsala::dom::{Document, NodeId};

/// An element of the file, its defaults at hand.
pub(super) struct Element<'a> {
    pub(super) document: &'a Document<'a>,
    pub(super) schema: &'a Document<'a>,
    pub(super) node: NodeId,
    /// The name of its type in the schema.
    pub(super) kind: &'static str,
}

impl<'a> Element<'a> {
    pub(super) fn children(
        &self,
        name: &'static str,
        kind: &'static str,
    ) -> impl Iterator<Item = Element<'a>> {
        let Self { document, schema, node, .. } = *self;
        let named = move |node: &NodeId| {
            document.element(*node).is_some_and(|element| element.name.local_name == name)
        };
        document.children_iter(node).filter(named).map(move |node| Element { document, schema, node, kind })
    }

    pub(super) fn child(&self, name: &'static str, kind: &'static str) -> Option<Element<'a>> {
        self.children(name, kind).next()
    }

    /// An attribute's value, or its default in the schema.
    pub(super) fn text(&self, name: &str) -> Option<String> {
        let given = self.document.get_attribute(self.node, name);
        given.map(|value| value.trim().to_owned()).or_else(|| self.default(name))
    }

    fn default(&self, name: &str) -> Option<String> {
        let of_kind = |id: &NodeId| self.schema.get_attribute(*id, "name") == Some(self.kind);
        let kind = self.schema.get_elements_by_tag_name("complexType").into_iter().find(of_kind)?;
        let attributes = self.schema.children_iter(kind);
        let named = |id: &NodeId| self.schema.get_attribute(*id, "name") == Some(name);
        let is_attribute =
            |id: &NodeId| self.schema.element(*id).is_some_and(|it| it.name.local_name == "attribute");
        let attribute = attributes.filter(is_attribute).find(named)?;
        self.schema.get_attribute(attribute, "default").map(str::to_owned)
    }

    pub(super) fn number(&self, name: &str) -> Option<u32> {
        self.text(name)?.parse().ok()
    }

    pub(super) fn line(&self) -> usize {
        self.document.node_line(self.node)
    }
}
